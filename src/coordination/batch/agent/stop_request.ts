import type { StopReason } from "./stop_reason.ts";

/** The first request to stop a run. */
export interface StopRequest {
  readonly reason: StopReason;
  /** Name of the entry that asked for it, or whose stream is the cause. */
  readonly entry: string;
  /** When it was made, on the monotonic clock. */
  readonly requestedAt: number;
}
