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
  for (const step of job.steps) {
    const dependencyMs = step.dependsOn.map((number) => pathsMs[number] ?? 0);
    pathsMs.push(Math.max(0, ...dependencyMs) + step.expectedMs);
  }
  const criticalPathMs = Math.max(...pathsMs);
  const targetMs = route.stretch * criticalPathMs + route.latencyTargetMs;
  const maxUsefulMs = route.maxLateness * targetMs;
  return { criticalPathMs, targetMs, maxUsefulMs };
}
