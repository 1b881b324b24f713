import type { StoredAnswer } from "./stored_answer.ts";

/**
 * Stores the final answer of a claimed submission at the home of its key.
 * Without an answer, releases the claim, because the submission was refused
 * before any task was dispatched.
 */
export interface CompleteRequest {
  claimId: number;
  key: string;
  fingerprint: string;
  answer?: StoredAnswer | undefined;
}
