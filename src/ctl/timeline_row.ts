/** One line of the merged timeline. */
export interface TimelineRow extends Record<string, unknown> {
  /**
   * Wall-clock time since the first event. Clocks of different processes may
   * disagree.
   */
  readonly offsetMs: number;
  readonly clock: number;
  readonly process: string;
  readonly type: string;
  readonly index: number | null;
  readonly attempt: number | null;
  readonly detail: string;
}
