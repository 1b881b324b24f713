import type { LogRecord } from "./log_record.ts";

/** A record that edits the settings tree. */
export type ChangeRecord = Extract<LogRecord, { type: "change" }>;
