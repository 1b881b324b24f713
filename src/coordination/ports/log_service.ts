import type { Result } from "neverthrow";
import type { DispatchError } from "../../state/errors/mod.ts";
import type { LogRecord } from "../../state/view/mod.ts";
import type { LogPage } from "./log_page.ts";

/** The platform's append-only log. */
export interface LogService {
  /**
   * Appends a record and gets its offset. An error of kind `publish_unknown`
   * means that the record may stand in the log all the same.
   */
  append(record: LogRecord): Promise<Result<number, DispatchError>>;
  /**
   * Reads records in order.
   * @param from - First offset wanted. When it is older than the retained
   * records, the page starts at the oldest one.
   * @param limit - Largest number of records.
   */
  read(from: number, limit: number): Promise<Result<LogPage, DispatchError>>;
}
