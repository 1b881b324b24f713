import type { StoredAnswer } from "./stored_answer.ts";

/**
 * Stores the final answer of a claim at its home. Without an answer it releases
 * the claim: the submission was refused before any task was dispatched.
 */
export interface CompleteRequest {
  claimId: number;
  key: string;
  fingerprint: string;
  answer?: StoredAnswer | undefined;
}
