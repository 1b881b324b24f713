import { getPercentiles } from "./get_percentiles.ts";
import type { JobResult } from "./job_result.ts";
import type { LoadReport } from "./load_report.ts";
import type { ClusterShape } from "./cluster_shape.ts";
import type { TaskExecution } from "./task_execution.ts";

/**
 * Gets where the time of complete jobs went, by the task of each job that ended
 * last: waiting for its start, running longer than on the fastest worker, and
 * the way of its result to the client.
 */
export function getLatencyBreakdown(
  results: readonly JobResult[],
  runs: readonly TaskExecution[],
  shape: Pick<ClusterShape, "speeds">,
): LoadReport["delays"] {
  const fastest = Math.max(...shape.speeds);
  const last = new Map<string, TaskExecution>();
  for (const run of runs) {
    if (run.endMs > (last.get(run.key)?.endMs ?? -Infinity)) {
      last.set(run.key, run);
    }
  }
  const waitMs: number[] = [];
  const slowMs: number[] = [];
  const returnMs: number[] = [];
  for (const { job, kind, answeredMs } of results) {
    const run = last.get(job.key);
    if (kind === "complete" && answeredMs !== undefined && run !== undefined) {
      const ranMs = run.endMs - run.startMs;
      waitMs.push(run.startMs - job.arrivalMs);
      slowMs.push(ranMs * (1 - (shape.speeds[run.worker] ?? 1) / fastest));
      returnMs.push(answeredMs - run.endMs);
    }
  }
  return {
    waitMs: getPercentiles(waitMs),
    slowMs: getPercentiles(slowMs),
    returnMs: getPercentiles(returnMs),
  };
}
