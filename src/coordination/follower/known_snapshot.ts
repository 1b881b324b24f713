/** A snapshot that this process has seen in the log. */
export interface KnownSnapshot {
  /** Log offset of the snapshot's record. */
  readonly offset: number;
  /** Log offset of the last record that its view includes. */
  readonly viewOffset: number;
  /**
   * Estimated local monotonic time at which it was written, in milliseconds.
   */
  readonly writtenAtMs: number;
}
