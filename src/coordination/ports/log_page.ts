/** One page of log records. */
export interface LogPage {
  /** Offset of the oldest retained record. */
  readonly first: number;
  /** Offset of the newest record, or 0 if the log is empty. */
  readonly head: number;
  readonly records: { readonly offset: number; readonly json: string }[];
}
