/** Time for which an entry stood still, or may have. */
export interface EntryPause {
  /**
   * `paused`: the entry has logged the pause.
   * `silent`: it has logged nothing, and may have had nothing to do.
   */
  readonly kind: "paused" | "silent";
  readonly lengthMs: number;
  /** Time of day, in milliseconds. */
  readonly endedAt: number;
}
