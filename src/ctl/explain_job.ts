import type { CommandResult } from "./command_result.ts";
import { formatTable } from "./format_table.ts";

/** Process-wide events that may explain what happened to a job. */
const PROCESS_EVENTS: ReadonlySet<string> = new Set([
  "agent_lost",
  "announce_failed",
  "entry_lost",
  "entry_silent",
  "lines_dropped",
  "operator_state",
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

interface LogLine {
  time: number;
  process: string;
  event: string;
  [field: string]: unknown;
}

/**
 * Explains what happened to a job: merges the log lines of all processes about
 * the job into one timeline. Text before the JSON of a line, such as the prefix
 * of a log collector, is skipped.
 * @param texts - Contents of the log files.
 * @param jobId - Id of the job.
 */
export function explainJob(
  texts: readonly string[],
  jobId: string,
): CommandResult {
  const lines = texts.flatMap(parseLines);
  const jobLines = lines.filter((line) => isAboutJob(line, jobId));
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
    fields: formatFields(fields, jobId),
  }));
  return {
    exitCode: 0,
    text: formatTable(rows),
    value: { status: "ok", jobId, events },
  };
}

function parseLines(text: string): LogLine[] {
  const lines: LogLine[] = [];
  for (const line of text.split("\n")) {
    const start = line.indexOf("{");
    const parsed = start < 0 ? undefined : parseLine(line.slice(start));
    if (parsed !== undefined) {
      lines.push(parsed);
    }
  }
  return lines;
}

/** Parses one log line; undefined for text that is not an event. */
function parseLine(text: string): LogLine | undefined {
  try {
    const line = JSON.parse(text) as Partial<LogLine>;
    return typeof line.time === "number" && typeof line.event === "string"
      ? { process: "", ...line } as LogLine
      : undefined;
  } catch {
    return undefined;
  }
}

function isAboutJob(line: LogLine, jobId: string): boolean {
  const { task, tasks } = line;
  const names: unknown[] = [task, ...(Array.isArray(tasks) ? tasks : [])];
  return line["job"] === jobId ||
    names.some((name) =>
      typeof name === "string" && name.startsWith(`${jobId}.`)
    );
}

function formatFields(
  fields: Readonly<Record<string, unknown>>,
  jobId: string,
): string {
  return Object.entries(fields)
    .filter(([name]) => name !== "job")
    .map(([name, value]) => `${name}=${JSON.stringify(value)}`)
    .join(" ")
    .replaceAll(`${jobId}.`, "");
}
