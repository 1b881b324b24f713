/** A request that an entry has read and has not handled yet. */
export interface QueuedRequest {
  readonly jobId: string;
  /** Priority of its route; 0 is the most urgent. */
  readonly priority: number;
  /** Who has sent the request. */
  readonly caller: string;
  /** Until when its job must start to meet its latency target, in ms. */
  readonly latestStartAt: number;
  /** Until when its job must start to be of use to the caller, in ms. */
  readonly usefulUntil: number;
}
