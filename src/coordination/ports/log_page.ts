/** One page of the log. */
export interface LogPage {
  /** Offset of the oldest record that the log still keeps. */
  readonly first: number;
  /** Offset of the newest record; 0 when the log is empty. */
  readonly head: number;
  readonly records: { readonly offset: number; readonly json: string }[];
}
