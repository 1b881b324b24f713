import type { KnownClaim } from "./known_claim.ts";

/** The reply to a gather request. */
export interface GatherReply {
  /** False when the member's view is still below the epoch. */
  ready: boolean;
  claims: KnownClaim[];
}
