import { createError } from "../../state/errors/mod.ts";
import type { CommandResult } from "../command_result.ts";
import { createErrorResult } from "../create_error_result.ts";
import { formatLogFields } from "../format_log_fields.ts";
import { formatTable } from "../format_table.ts";
import type { LogLine } from "../log_line.ts";
import { parseLogLines } from "../parse_log_lines.ts";
import {
  explainRunStart,
  type ExplainRunStartOptions,
} from "./explain_run_start.ts";
import { findLoggedRuns } from "./find_logged_runs.ts";
import { findRunOverlaps } from "./find_run_overlaps.ts";
import { LogIndex } from "./log_index.ts";
import type { ExplainedRun } from "./explained_run.ts";
import { findOverlapCause } from "./find_overlap_cause.ts";
import { formatOverlapCause } from "./format_overlap_cause.ts";
import { formatRunRequest } from "./format_run_request.ts";
import type { LoggedRun } from "./logged_run.ts";
import type { OverlapCause } from "./overlap_cause.ts";
import type { RunOverlap } from "./run_overlap.ts";

/** Exit code for logs that show an overlap with certainty. */
const EXIT_OVERLAP = 10;

/** Fields of log lines that don't explain why a task was placed. */
const OMITTED_FIELDS: ReadonlySet<string> = new Set([
  "capacity",
  "expectedMs",
  "isDraining",
  "labels",
  "placed",
  "priority",
  "route",
  "sequence",
  "service",
  "task",
  "usefulMs",
  "zone",
]);

interface ExplainedOverlap extends Omit<RunOverlap, "first" | "second"> {
  readonly job: string;
  readonly task: string;
  readonly cause: OverlapCause;
  /**
   * Processes that were started between the earlier admission of the job and the
   * later run.
   */
  readonly restarts: readonly string[];
  readonly runs: readonly [ExplainedRun, ExplainedRun];
}

/**
 * Finds the tasks that had two runs at the same time, and explains for both
 * runs why they were started.
 * @param texts - Contents of the log files of all processes.
 * @param options - By how much the clocks of two machines may differ, in
 * milliseconds: shorter overlaps are left out.
 */
export function explainOverlaps(
  texts: readonly string[],
  options: { toleranceMs: number },
): CommandResult {
  const { toleranceMs } = options;
  if (!(toleranceMs >= 0)) {
    const message = "--tolerance must be a number of milliseconds";
    return createErrorResult(createError("invalid_request", message));
  }
  const lines = texts.flatMap(parseLogLines).sort((a, b) => a.time - b.time);
  const runsByTask = findLoggedRuns(lines);
  if (runsByTask.size === 0) {
    const text =
      "no line about a run; those of agents are missing or were dropped";
    return { exitCode: 1, text, value: { status: "failed", error: text } };
  }
  const index = new LogIndex(lines);
  const overlaps = findRunOverlaps(runsByTask, toleranceMs).map((overlap) => {
    const runs = runsByTask.get(overlap.first.task) ?? [];
    return explainOverlap(overlap, { runs, index, toleranceMs });
  });
  const certain = overlaps.filter(({ certainty }) => certainty === "certain");
  const counts = {
    runs: [...runsByTask.values()].flat().length,
    certain: certain.length,
    possible: overlaps.length - certain.length,
    droppedLines: countDroppedLines(lines),
  };
  const summary = `${counts.certain} certain and ${counts.possible} possible ` +
    `overlaps of ${counts.runs} runs; ${counts.droppedLines} lines were dropped`;
  return {
    exitCode: certain.length > 0 ? EXIT_OVERLAP : 0,
    text: [...overlaps.map(formatOverlap), summary].join("\n\n"),
    value: { status: "ok", ...counts, overlaps },
  };
}

function explainOverlap(
  overlap: RunOverlap,
  options: Omit<ExplainRunStartOptions, "other">,
): ExplainedOverlap {
  const { first, second, ...lengths } = overlap;
  const explainRun = (run: LoggedRun, other: LoggedRun) => ({
    ...run,
    ...explainRunStart(run, { ...options, other }),
  });
  const runs = [
    explainRun(first, second),
    explainRun(second, first),
  ] as const;
  const { index } = options;
  const cause = findOverlapCause(runs, index);
  const from = Math.min(
    ...runs.map(({ admission, start }) => admission?.time ?? start.earliest),
  );
  const restarts = index.getStarts(from, second.start.latest)
    .map(({ process }) => process);
  const { job, task } = first;
  return { job, task, ...lengths, cause, restarts, runs };
}

function countDroppedLines(lines: readonly LogLine[]): number {
  return lines.filter(({ event }) => event === "lines_dropped")
    .reduce((sum, line) => sum + Number(line["count"]), 0);
}

function formatOverlap(overlap: ExplainedOverlap): string {
  const { task, certainty, leastMs, mostMs, cause, restarts, runs } = overlap;
  const length = leastMs === mostMs ? leastMs : `${leastMs} to ${mostMs}`;
  const summary = [
    `${task}: ${certainty} overlap of ${length} ms`,
    `  cause: ${formatOverlapCause(cause, runs)}`,
    `  started meanwhile: ${restarts.join(", ") || "no process"}`,
  ].join("\n");
  return [summary, ...runs.map(formatRun)].join("\n\n");
}

function formatRun(run: ExplainedRun): string {
  const startedAt = run.start.latest;
  const rows = run.events.map(({ time, process, event, ...fields }) => ({
    ms: time - startedAt,
    process,
    event,
    fields: formatLogFields(selectFields(fields), run.job),
  }));
  return [
    `run ${run.run} at ${run.agent} for ${run.entry ?? "an unknown entry"}, ` +
    `started ${new Date(startedAt).toISOString()}, ${formatEnd(run)}`,
    `  decided by ${formatAge(run.decision, startedAt)}`,
    ...formatRunRequest(run).map((line) => `  ${line}`),
    `  knowledge of other runs: ${formatAge(run.knowledge, startedAt)}`,
    formatTable(rows),
  ].join("\n");
}

function formatEnd({ start, end, outcome }: LoggedRun): string {
  const earliest = end.earliest - start.latest;
  const latest = end.latest - start.latest;
  const after = earliest === latest ? `${latest}` : `${earliest} to ${latest}`;
  return `ended after ${after} ms (${outcome ?? "end not logged"})`;
}

function formatAge(line: LogLine | undefined, startedAt: number): string {
  return line === undefined
    ? "nothing logged"
    : `${line.event}, ${startedAt - line.time} ms before the start`;
}

function selectFields(
  fields: Readonly<Record<string, unknown>>,
): Record<string, unknown> {
  return Object.fromEntries(
    Object.entries(fields).filter(([name]) => !OMITTED_FIELDS.has(name)),
  );
}
