import type { JobClaimReply } from "../../messages/mod.ts";

/** The session on which an entry has claimed jobs. */
export interface ClaimOwner {
  /** Name of the entry. */
  readonly name: string;
  /** Identifies one start of the entry's process. */
  readonly incarnation: string;
  readonly isClosed: boolean;
  /** Number of frames that have arrived from the entry. */
  readonly frameCount: number;
  /** Tells the entry that another one has claimed its job. */
  sendCancel(jobId: string): void;
  sendClaimReply(reply: JobClaimReply): void;
}
