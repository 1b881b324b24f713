/** A record of the log as text, relayed from one process to another. */
export interface RawLogRecord {
  offset: number;
  json: string;
}
