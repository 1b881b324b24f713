import type { StoredAnswer } from "./stored_answer.ts";

/** The home's reply to a claim. */
export interface ClaimReply {
  claimId: number;
  /** A `ClaimOutcome`; text that isn't one is handled as held back. */
  outcome: string;
  coordinator: string;
  answer?: StoredAnswer | undefined;
  clock: number;
}
