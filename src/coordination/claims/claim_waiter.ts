import type { ClaimRequest } from "../messages/mod.ts";
import type { ClaimServiceReply } from "./claim_service_reply.ts";

/** Claim request whose final reply hasn't been sent yet. */
export interface ClaimWaiter {
  readonly claim: ClaimRequest;
  /** Member id of the entry that sent the request. */
  readonly coordinatorId: string;
  readonly reply: (reply: ClaimServiceReply) => void;
  /** Returns whether the stream for the reply is still open. */
  readonly isStreamOpen: () => boolean;
}
