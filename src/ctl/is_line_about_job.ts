import type { LogLine } from "./log_line.ts";

/** Returns whether a log line is about a job or a task of it. */
export function isLineAboutJob(line: LogLine, jobId: string): boolean {
  const { task, tasks } = line;
  const names: unknown[] = [task, ...(Array.isArray(tasks) ? tasks : [])];
  return line["job"] === jobId ||
    names.some((name) =>
      typeof name === "string" && name.startsWith(`${jobId}.`)
    );
}
