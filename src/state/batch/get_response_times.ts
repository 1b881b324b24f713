/**
 * Derives the response times of a job from the declared run times of its steps
 * and the latency objective of its route.
 */
import type { BatchJob } from "./batch_job.ts";
import type { Route } from "./route.ts";

/**
 * Gets the run time of the longest chain of dependent steps of a job on workers
 * of average speed (`criticalPathMs`), and the response time up to which the job
 * meets its latency target (`targetMs`), both in milliseconds.
 */
export function getResponseTimes(
  job: BatchJob,
  route: Route,
): { criticalPathMs: number; targetMs: number } {
  const pathsMs: number[] = [];
  for (const step of job.steps) {
    const dependencyMs = step.dependsOn.map((number) => pathsMs[number] ?? 0);
    pathsMs.push(Math.max(0, ...dependencyMs) + step.expectedMs);
  }
  const criticalPathMs = Math.max(...pathsMs);
  const targetMs = route.stretch * criticalPathMs + route.latencyTargetMs;
  return { criticalPathMs, targetMs };
}
