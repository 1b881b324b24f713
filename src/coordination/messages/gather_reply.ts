import type { KnownClaim } from "./known_claim.ts";

/** One page of the reply to a gather request. */
export interface GatherReply {
  /** False when the member's view is still below the epoch. */
  ready: boolean;
  claims: KnownClaim[];
  /** The epoch of the home set that decided which claims are listed. */
  epoch: number;
  /**
   * False when the member's own takeovers weren't complete at a change since
   * `since`.
   */
  isComplete: boolean;
  /** Position of the next page; 0 after the last one. */
  next: number;
}
