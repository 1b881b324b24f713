/**
 * Derives the response times of a job from the declared run times of its steps
 * and the latency objective of its route.
 */
import type { BatchJob } from "./batch_job.ts";
import type { Route } from "./route.ts";

/**
 * Gets times of a job in milliseconds: the run time of its longest chain of
 * dependent steps on workers of average speed (`criticalPathMs`), the response
 * time up to which it meets its latency target (`targetMs`), and the one up to
 * which its answer is of use to the caller (`maxUsefulMs`).
 */
export function getResponseTimes(
  job: BatchJob,
  route: Route,
): { criticalPathMs: number; targetMs: number; maxUsefulMs: number } {
  const pathsMs: number[] = [];
  let criticalPathMs = -Infinity;
  for (const { dependsOn, expectedMs } of job.steps) {
    let startMs = 0;
    for (const number of dependsOn) {
      startMs = Math.max(startMs, pathsMs[number] ?? 0);
    }
    pathsMs.push(startMs + expectedMs);
    criticalPathMs = Math.max(criticalPathMs, startMs + expectedMs);
  }
  const targetMs = route.stretch * criticalPathMs + route.latencyTargetMs;
  const maxUsefulMs = route.maxLateness * targetMs;
  return { criticalPathMs, targetMs, maxUsefulMs };
}
