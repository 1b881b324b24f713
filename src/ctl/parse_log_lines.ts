import type { LogLine } from "./log_line.ts";

/**
 * Parses the events of a log file. Text before the JSON of a line, such as the
 * prefix of a log collector, is skipped, and so are lines that are no event.
 */
export function parseLogLines(text: string): LogLine[] {
  const lines: LogLine[] = [];
  for (const line of text.split("\n")) {
    const start = line.indexOf("{");
    const parsed = start < 0 ? undefined : parseLogLine(line.slice(start));
    if (parsed !== undefined) {
      lines.push(parsed);
    }
  }
  return lines;
}

/** Parses one log line; undefined for text that is not an event. */
function parseLogLine(text: string): LogLine | undefined {
  try {
    const line = JSON.parse(text) as Partial<LogLine>;
    return typeof line.time === "number" && typeof line.event === "string"
      ? { process: "", ...line } as LogLine
      : undefined;
  } catch {
    return undefined;
  }
}
