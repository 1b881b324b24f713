/** One event of the timeline. */
export interface TimelineEvent {
  /**
   * Lamport clock: an event has a higher value than the events that caused it.
   */
  readonly clock: number;
  /**
   * Wall-clock time of the process, in milliseconds. For display only; never
   * used to order events.
   */
  readonly timeMs: number;
  readonly memberId: string;
  readonly type: string;
  /** Idempotency key of the submission that the event belongs to. */
  readonly key?: string;
  readonly index?: number;
  readonly attempt?: number;
  readonly detail?: string;
}
