import type { StoredAnswer } from "./stored_answer.ts";

/** The home's reply to a claim. */
export interface ClaimReply {
  claimId: number;
  /** A `ClaimOutcome`. Any other text is treated as `held_back`. */
  outcome: string;
  coordinator: string;
  answer?: StoredAnswer | undefined;
  clock: number;
}
