import type { LogLine } from "./log_line.ts";

/** Waits for the processor time of an entry that are named, in milliseconds. */
const NAMED_WAIT_MS = 20;

/**
 * Finds where the intake of an entry has refused or delayed a job, and returns a
 * sentence for each.
 * @param lines - Log lines about the job.
 */
export function findIntakeDelays(lines: readonly LogLine[]): string[] {
  return lines.flatMap(({ process, event, cause, queuedMs, tookMs }) => {
    if (event === "job_intake") {
      return [`refused by the intake of ${process}: ${cause ?? "loop_delay"}`];
    }
    return event === "job_answered" && Number(queuedMs) >= NAMED_WAIT_MS
      ? [`delayed by the intake of ${process}: ${queuedMs} of ${tookMs} ms`]
      : [];
  });
}
