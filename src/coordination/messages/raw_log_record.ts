/** A serialised log record, as relayed between processes. */
export interface RawLogRecord {
  offset: number;
  json: string;
}
