import type { JobResult } from "./job_result.ts";
import type { LoadReport } from "./load_report.ts";
import type { TaskExecution } from "./task_execution.ts";

/**
 * Beginnings of the names of the counters of sent and of wasted messages
 * between the processes.
 */
const SENT_PREFIX = "cranberrybank_messages_sent";
const WASTED_PREFIX = "cranberrybank_messages_wasted";

export interface MessageStatsOptions {
  results: readonly JobResult[];
  counters: ReadonlyMap<string, number>;
  runs?: readonly TaskExecution[] | undefined;
}

/**
 * Gets the message figures of a run. A wasted message led to no start, answer
 * or confirmed state. Processes that don't count messages leave them undefined,
 * never 0.
 */
export function getMessageStats(
  options: MessageStatsOptions,
): LoadReport["messages"] {
  const { results, counters, runs } = options;
  const complete = results.filter((result) => result.kind === "complete");
  const tasks = complete.reduce((sum, { job }) => sum + job.runMs.length, 0);
  const getPerTask = (prefix: string) => {
    const counts = [...counters].filter(([name]) => name.startsWith(prefix));
    return counts.length === 0 || tasks === 0
      ? undefined
      : counts.reduce((sum, [, count]) => sum + count, 0) / tasks;
  };
  const distinct = new Set(runs?.map((run) => `${run.key}/${run.index}`));
  return {
    wastedPerTask: getPerTask(WASTED_PREFIX),
    perTask: getPerTask(SENT_PREFIX),
    extraStartsPerTask: runs === undefined
      ? undefined
      : (runs.length - distinct.size) / Math.max(1, tasks),
    counters: Object.fromEntries(counters),
  };
}
