import type { LogLine } from "../log_line.ts";
import { findClaimLines } from "./find_claim_lines.ts";
import { findEntryPauses } from "./find_entry_pauses.ts";
import { getClaimState } from "./get_claim_state.ts";
import type { LogIndex } from "./log_index.ts";
import type { LoggedRun } from "./logged_run.ts";
import type { RunStartExplanation } from "./run_start_explanation.ts";

/** Events of an entry that learns of other submissions of a job. */
const KNOWLEDGE_EVENTS: ReadonlySet<string> = new Set([
  "job_claim_held",
  "job_superseded",
  "job_taken_over",
]);

export interface ExplainRunStartOptions {
  /** The other run of the overlap. */
  other: LoggedRun;
  /** All runs of the task. */
  runs: readonly LoggedRun[];
  index: LogIndex;
  /** By how much the clocks of two machines may differ, in milliseconds. */
  toleranceMs: number;
}

/**
 * Explains why a run was started, from the lines of its entry, of its agent and
 * of the agents of the entry's earlier runs of the task.
 */
export function explainRunStart(
  run: LoggedRun,
  options: ExplainRunStartOptions,
): RunStartExplanation {
  const { other, runs, index, toleranceMs } = options;
  const decidedBy = run.start.latest + toleranceMs;
  const entryLines = findSubmissionLines(run, index, decidedBy);
  const from = entryLines[0]?.time ?? run.start.earliest;
  const to = Math.max(run.start.latest, run.end.latest);
  const earlierLines = entryLines.filter(({ time }) => time <= decidedBy);
  const admission = earlierLines.findLast(({ event }) =>
    event === "job_admission"
  );
  const claimLines = findClaimLines(run, entryLines, index);
  return {
    decision: earlierLines.findLast((line) => isPlacement(line, run)),
    admission,
    pauses: admission === undefined
      ? []
      : findEntryPauses(index.getLines(admission.process), admission.time),
    claim: getClaimState(
      claimLines.filter(({ time }) => time <= run.start.latest),
    ),
    claimLines,
    knowledge: earlierLines.findLast(isAboutOtherRuns),
    events: [
      ...entryLines.filter(({ time }) => time <= to),
      ...findConnectionLines(run, other.agent, { index, from, decidedBy }),
      ...findRestarts(run, other, index),
      ...findPauseLines(run, index).filter(({ time }) => time >= from),
      ...[...findFormerRuns(run, runs), run]
        .flatMap((ownRun) => findAgentLines(ownRun, index))
        .filter(({ time }) => time >= from && time <= to),
    ].filter((line, position, all) => all.indexOf(line) === position)
      .sort((a, b) => a.time - b.time),
  };
}

/** Finds the lines of the entry about the submission that the run belongs to. */
function findSubmissionLines(
  run: LoggedRun,
  index: LogIndex,
  decidedBy: number,
): LogLine[] {
  if (run.entry === undefined) {
    return [];
  }
  const lines = index.getJobLines(run.entry, run.job);
  const admission = lines.findLastIndex(({ event, time }) =>
    event === "job_admission" && time <= decidedBy
  );
  const previousAnswer = lines.slice(0, Math.max(0, admission))
    .findLastIndex(({ event }) => event === "job_answered");
  return lines.slice(previousAnswer + 1)
    .filter((line) => isAboutTask(line, run.task));
}

/**
 * Finds what the entry knew of its connection to an agent: the lines since the
 * submission, and the latest one before.
 */
function findConnectionLines(
  run: LoggedRun,
  agent: string,
  options: { index: LogIndex; from: number; decidedBy: number },
): LogLine[] {
  const { index, from, decidedBy } = options;
  const lines = index.getConnectionLines(run.entry ?? "", agent)
    .filter(({ time }) => time <= decidedBy);
  const latestBefore = lines.findLast(({ time }) => time < from);
  return [
    ...latestBefore === undefined ? [] : [latestBefore],
    ...lines.filter(({ time }) => time >= from),
  ];
}

/** Finds restarts of the entry since the other run started. */
function findRestarts(
  run: LoggedRun,
  other: LoggedRun,
  index: LogIndex,
): LogLine[] {
  return index.getProcessLines(run.entry ?? "").filter(({ event, time }) =>
    event === "starting" && time >= other.start.earliest &&
    time <= run.start.latest
  );
}

/** Finds the pauses of the entry until the run started. */
function findPauseLines(run: LoggedRun, index: LogIndex): LogLine[] {
  return index.getProcessLines(run.entry ?? "").filter(({ event, time }) =>
    event === "process_paused" && time <= run.start.latest
  );
}

/** Finds the runs of the task that the entry had ordered before. */
function findFormerRuns(
  run: LoggedRun,
  runs: readonly LoggedRun[],
): LoggedRun[] {
  return runs.filter(({ entry, start }) =>
    entry === run.entry && start.latest < run.start.latest
  );
}

/** Finds the lines of the agent about the run, its entry and its worker. */
function findAgentLines(run: LoggedRun, index: LogIndex): LogLine[] {
  const { agent, entry, job, task } = run;
  return [
    ...index.getJobLines(agent, job).filter((line) =>
      isAboutTask(line, task) && (line["run"] ?? run.run) === run.run
    ),
    ...index.getConnectionLines(agent, entry ?? ""),
    ...index.getProcessLines(agent),
  ];
}

function isAboutTask(line: LogLine, task: string): boolean {
  return line["task"] === undefined || line["task"] === task;
}

function isPlacement(line: LogLine, run: LoggedRun): boolean {
  return line.event === "job_admission" ||
    line.event === "task_placed_again" && line["agent"] === run.agent;
}

function isAboutOtherRuns(line: LogLine): boolean {
  return KNOWLEDGE_EVENTS.has(line.event) ||
    line.event === "job_held" && line["formerRunsMs"] !== undefined;
}
