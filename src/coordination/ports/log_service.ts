import type { Result } from "neverthrow";
import type { DispatchError } from "../../state/errors/mod.ts";
import type { LogRecord } from "../../state/view/mod.ts";
import type { LogPage } from "./log_page.ts";

/** The platform's append-only log. */
export interface LogService {
  /**
   * Appends a record and returns its offset. An error of kind `publish_unknown`
   * means that the record may have been appended nevertheless.
   */
  append(record: LogRecord): Promise<Result<number, DispatchError>>;
  /**
   * Reads records in order.
   * @param from - Offset of the first record to read. If it is below the
   * retained records, the page starts at the oldest retained record.
   * @param limit - Maximum number of records.
   */
  read(from: number, limit: number): Promise<Result<LogPage, DispatchError>>;
}
