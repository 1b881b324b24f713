import type { KnownClaim } from "./known_claim.ts";

/** One page of the reply to a gather request. */
export interface GatherReply {
  /** False if the member's view hasn't reached the requested epoch. */
  ready: boolean;
  claims: KnownClaim[];
  /** Epoch of the home set by which the claims were selected. */
  epoch: number;
  /**
   * False if the member had an incomplete takeover of its own at any home
   * change from `since` on.
   */
  isComplete: boolean;
  /** Position of the next page, or 0 after the last page. */
  next: number;
}
