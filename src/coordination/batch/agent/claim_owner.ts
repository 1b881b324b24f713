import type { CancelReason, JobClaimReply } from "../../messages/mod.ts";

/** The session on which an entry has claimed jobs. */
export interface ClaimOwner {
  /** Name of the entry. */
  readonly name: string;
  /** Identifies one start of the entry's process. */
  readonly incarnation: string;
  readonly isClosed: boolean;
  /** Number of frames that have arrived from the entry. */
  readonly frameCount: number;
  /** Tells the entry that its job is stopped for another one. */
  sendCancel(jobId: string, reason: CancelReason): void;
  /** @param options.canWait - Whether the reply may wait for another frame. */
  sendClaimReply(
    reply: JobClaimReply,
    options?: { canWait: boolean },
  ): void;
}
