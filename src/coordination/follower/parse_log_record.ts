import { LogRecord } from "../../state/view/mod.ts";

/** Parses a record. Returns undefined if this version can't read it. */
export function parseLogRecord(json: string): LogRecord | undefined {
  try {
    return LogRecord.safeParse(JSON.parse(json)).data;
  } catch {
    return undefined;
  }
}
