import { getPercentiles } from "./get_percentiles.ts";
import type { JobResult } from "./job_result.ts";
import type { LoadReport } from "./load_report.ts";
import type { ClusterShape } from "./cluster_shape.ts";
import type { TaskExecution } from "./task_execution.ts";

/**
 * Gets the breakdown of the response times of complete jobs. It is taken from
 * the task of each job that ended last: the wait for its start, the run time
 * beyond that on the fastest worker, and the time from its end to the answer at
 * the client.
 */
export function getLatencyBreakdown(
  results: readonly JobResult[],
  executions: readonly TaskExecution[],
  shape: Pick<ClusterShape, "speeds">,
): LoadReport["delays"] {
  const maxSpeed = Math.max(...shape.speeds);
  const lastExecutionByJob = new Map<string, TaskExecution>();
  for (const execution of executions) {
    if (
      execution.endMs >
        (lastExecutionByJob.get(execution.key)?.endMs ?? -Infinity)
    ) {
      lastExecutionByJob.set(execution.key, execution);
    }
  }
  const waitMs: number[] = [];
  const slowMs: number[] = [];
  const returnMs: number[] = [];
  for (const { job, kind, answeredMs } of results) {
    const execution = lastExecutionByJob.get(job.key);
    if (
      kind === "complete" && answeredMs !== undefined && execution !== undefined
    ) {
      const ranMs = execution.endMs - execution.startMs;
      waitMs.push(execution.startMs - job.arrivalMs);
      slowMs.push(
        ranMs * (1 - (shape.speeds[execution.worker] ?? 1) / maxSpeed),
      );
      returnMs.push(answeredMs - execution.endMs);
    }
  }
  return {
    waitMs: getPercentiles(waitMs),
    slowMs: getPercentiles(slowMs),
    returnMs: getPercentiles(returnMs),
  };
}
