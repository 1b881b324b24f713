import type { OperatorChange } from "../../../state/batch/mod.ts";
import type { EventLog, KeyedPage } from "../../ports/mod.ts";
import type { OperatorRecordParser } from "./operator_record_parser.ts";

export interface ReadOperatorPageOptions {
  log: EventLog;
  parseOperatorRecord: OperatorRecordParser;
}

/** Parses the changes of a page; logs and skips unreadable records. */
export function readOperatorPage(
  page: KeyedPage,
  options: ReadOperatorPageOptions,
): OperatorChange[] {
  const changes: OperatorChange[] = [];
  for (const { key, value } of page.records) {
    const change = options.parseOperatorRecord(key, value);
    if (change.isOk()) {
      changes.push(change.value);
    } else {
      options.log.record("record_unreadable", {
        key,
        reason: change.error.message,
      });
    }
  }
  return changes;
}
