import type { CancelReason, RunEnd } from "../../messages/mod.ts";

/** The session that ordered a run and is told of its end. */
export interface RunOwner {
  /** Name of the entry. */
  readonly name: string;
  /**
   * Returns whether the entry has acknowledged a frame of this agent recently
   * enough to start runs for it.
   */
  isResponsive(): boolean;
  handleEnd(end: RunEnd): void;
  /** Tells the entry that its job is stopped for another one. */
  sendCancel(jobId: string, reason: CancelReason): void;
}
