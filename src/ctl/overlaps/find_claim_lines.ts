import type { LogLine } from "../log_line.ts";
import type { LogIndex } from "./log_index.ts";
import type { LoggedRun } from "./logged_run.ts";

/** Events of an entry about the time before it may place the tasks of a job. */
const ENTRY_EVENTS: ReadonlySet<string> = new Set([
  "job_claim_held",
  "job_claim_waited",
  "job_held",
]);

/**
 * Finds the lines about the claim of a run's entry: those of the entry, and
 * those of agents that stop the entry's job for another one.
 * @param run - The run.
 * @param entryLines - Lines of the entry about the submission of the run.
 */
export function findClaimLines(
  run: LoggedRun,
  entryLines: readonly LogLine[],
  index: LogIndex,
): LogLine[] {
  const from = entryLines[0]?.time ?? run.start.earliest;
  const superseded = index.getLinesAboutJob(run.job).filter((line) =>
    line.event === "job_superseded" && line["entry"] === run.entry &&
    line.time >= from
  );
  return [
    ...entryLines.filter(({ event }) => ENTRY_EVENTS.has(event)),
    ...superseded,
  ].sort((a, b) => a.time - b.time);
}
