import type { JobResult } from "./job_result.ts";
import type { LoadReport } from "./load_report.ts";
import type { TaskExecution } from "./task_execution.ts";

/**
 * Name prefixes of the counters of messages between processes: those sent, and
 * those of them that were wasted.
 */
const SENT_PREFIX = "cranberrybank_messages_sent";
const WASTED_PREFIX = "cranberrybank_messages_wasted";

export interface MessageStatsOptions {
  results: readonly JobResult[];
  counters: ReadonlyMap<string, number>;
  executions?: readonly TaskExecution[] | undefined;
}

/**
 * Gets the message statistics of a load run. A wasted message led to no task
 * start, answer or confirmed state. Statistics whose counters the processes
 * don't expose are undefined, never 0.
 */
export function getMessageStats(
  options: MessageStatsOptions,
): LoadReport["messages"] {
  const { results, counters, executions } = options;
  const complete = results.filter((result) => result.kind === "complete");
  const completedTasks = complete.reduce(
    (sum, { job }) => sum + job.runMs.length,
    0,
  );
  const getPerTask = (prefix: string) => {
    const counts = [...counters].filter(([name]) => name.startsWith(prefix));
    return counts.length === 0 || completedTasks === 0
      ? undefined
      : counts.reduce((sum, [, count]) => sum + count, 0) / completedTasks;
  };
  const startedTasks = new Set(
    executions?.map((execution) => `${execution.key}/${execution.index}`),
  );
  return {
    wastedPerTask: getPerTask(WASTED_PREFIX),
    perTask: getPerTask(SENT_PREFIX),
    extraStartsPerTask: executions === undefined
      ? undefined
      : (executions.length - startedTasks.size) / Math.max(1, completedTasks),
    counters: Object.fromEntries(counters),
  };
}
