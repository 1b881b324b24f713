import type { LogLine } from "./log_line.ts";

/** Returns whether a log line is about a job or a task of it. */
export function isLineAboutJob(line: LogLine, jobId: string): boolean {
  const { task, tasks, path } = line;
  const names: unknown[] = [task, ...(Array.isArray(tasks) ? tasks : [])];
  return line["job"] === jobId ||
    // A request that is refused unread names its job only there.
    typeof path === "string" && path.endsWith(`/${jobId}`) ||
    names.some((name) =>
      typeof name === "string" && name.startsWith(`${jobId}.`)
    );
}
