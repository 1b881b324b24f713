/** A snapshot that a process has seen in the log. */
export interface KnownSnapshot {
  /** Offset of the snapshot's record. */
  readonly offset: number;
  /** Offset after which it holds the view. */
  readonly viewOffset: number;
  /**
   * Local monotonic time when it was written, as far as clocks tell, in
   * milliseconds.
   */
  readonly writtenAtMs: number;
}
