/** A page of records read from a keyed topic. */
export interface KeyedPage {
  readonly records: readonly {
    readonly key: string;
    /** Undefined if the key was deleted. */
    readonly value: string | undefined;
  }[];
  /** Offset that follows the last record read. */
  readonly end: number;
}
