/** Records read from a topic. */
export interface KeyedPage {
  readonly records: readonly {
    readonly key: string;
    /** Undefined when the key was dropped. */
    readonly value: string | undefined;
  }[];
  /** Offset after the last record read. */
  readonly end: number;
}
