import { isNestedWithin } from "../../state/json/mod.ts";
import { LogRecord } from "../../state/view/mod.ts";

/** Parses a record. Returns undefined if this version can't read it. */
export function parseLogRecord(json: string): LogRecord | undefined {
  try {
    const value: unknown = JSON.parse(json);
    return isNestedWithin(value) ? LogRecord.safeParse(value).data : undefined;
  } catch {
    return undefined;
  }
}
