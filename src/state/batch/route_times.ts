/**
 * The run times of the jobs of each route, learned from those that were read.
 * They order requests before these are parsed, when only the route is known. A
 * route with jobs of very different length gets the mean of them.
 */
import { getResponseTimes } from "./get_response_times.ts";
import type { BatchJob } from "./batch_job.ts";
import type { Route } from "./route.ts";

/** Weight of the latest job in the mean run time of a route. */
const MEAN_WEIGHT = 0.1;

export class RouteTimes {
  readonly #criticalPathMs = new Map<string, number>();

  recordJob(job: BatchJob, route: Route): void {
    const { criticalPathMs } = getResponseTimes(job, route);
    const mean = this.#criticalPathMs.get(route.name) ?? criticalPathMs;
    const change = MEAN_WEIGHT * (criticalPathMs - mean);
    this.#criticalPathMs.set(route.name, mean + change);
  }

  /**
   * Gets the times in milliseconds after its arrival until which a job of the
   * route must start: to meet its latency target (`slackMs`), and to be of use to
   * its caller (`usefulMs`). Until a job was read, its run time counts as 0.
   * @param timeLeftMs - Time in which the job must be answered.
   */
  getStartLimits(
    route: Route,
    timeLeftMs: number,
  ): { slackMs: number; usefulMs: number } {
    const pathMs = this.#criticalPathMs.get(route.name) ?? 0;
    const targetMs = route.stretch * pathMs + route.latencyTargetMs;
    const slackMs = targetMs - pathMs;
    const maxUsefulMs = route.maxLateness * targetMs;
    const usefulMs = Math.min(maxUsefulMs, timeLeftMs) - pathMs;
    return { slackMs, usefulMs: Math.max(slackMs, usefulMs) };
  }
}
