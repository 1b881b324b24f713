/** One event in the merged timeline of several processes. */
export interface TimelineRow extends Record<string, unknown> {
  /**
   * Wall-clock time since the first event, in milliseconds. Negative when the
   * clocks of the processes disagree.
   */
  readonly offsetMs: number;
  /** Lamport clock of the event. */
  readonly clock: number;
  readonly process: string;
  readonly type: string;
  readonly index: number | null;
  readonly attempt: number | null;
  readonly detail: string;
}
