import type { CommandResult } from "./command_result.ts";
import { formatLogFields } from "./format_log_fields.ts";
import { formatTable } from "./format_table.ts";
import { findIntakeDelays } from "./find_intake_delays.ts";
import { isLineAboutJob } from "./is_line_about_job.ts";
import { parseLogLines } from "./parse_log_lines.ts";

/** Process-wide events that may explain what happened to a job. */
const PROCESS_EVENTS: ReadonlySet<string> = new Set([
  "agent_lost",
  "announce_failed",
  "entry_lost",
  "entry_silent",
  "lines_dropped",
  "operator_state",
  "process_paused",
  "route_confined",
  "route_released",
  "starting",
  "stopping",
  "store_lost",
  "worker_crashed",
  "worker_found",
  "worker_lost",
  "worker_silent",
  "worker_state",
]);

/**
 * Time before the first and after the last log line of a job in which
 * process-wide events are included, in milliseconds.
 */
const EVENT_MARGIN_MS = 1_000;

/**
 * Explains what happened to a job: merges the log lines of all processes about
 * the job into one timeline.
 * @param texts - Contents of the log files.
 * @param jobId - Id of the job.
 */
export function explainJob(
  texts: readonly string[],
  jobId: string,
): CommandResult {
  const lines = texts.flatMap(parseLogLines);
  const jobLines = lines.filter((line) => isLineAboutJob(line, jobId));
  if (jobLines.length === 0) {
    const text = `no line of job ${jobId}; lines may have been dropped`;
    return { exitCode: 1, text, value: { status: "failed", error: text } };
  }
  const from = Math.min(...jobLines.map(({ time }) => time)) - EVENT_MARGIN_MS;
  const to = Math.max(...jobLines.map(({ time }) => time)) + EVENT_MARGIN_MS;
  const processes = new Set(jobLines.map((line) => line.process));
  const processLines = lines.filter((line) =>
    PROCESS_EVENTS.has(line.event) && processes.has(line.process) &&
    line.time >= from && line.time <= to
  );
  const events = [...jobLines, ...processLines].sort((a, b) => a.time - b.time);
  const startedAt = Math.min(...jobLines.map(({ time }) => time));
  const rows = events.map(({ time, process, event, ...fields }) => ({
    ms: time - startedAt,
    process,
    event,
    fields: formatLogFields(fields, jobId),
  }));
  const findings = findIntakeDelays(jobLines);
  return {
    exitCode: 0,
    text: [formatTable(rows), ...findings].join("\n"),
    value: { status: "ok", jobId, events, findings },
  };
}
