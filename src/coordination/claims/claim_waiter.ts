import type { ClaimRequest } from "../messages/mod.ts";
import type { ClaimServiceReply } from "./claim_service_reply.ts";

/** A claim request whose final reply is still to come. */
export interface ClaimWaiter {
  readonly claim: ClaimRequest;
  /** Member id of the entry that sent it. */
  readonly coordinatorId: string;
  readonly reply: (reply: ClaimServiceReply) => void;
  /** Is the stream that the reply goes to still open? */
  readonly isStreamOpen: () => boolean;
}
