import type { StoredAnswer } from "./stored_answer.ts";

/** The knowledge of one member about the claim of one key. */
export interface KnownClaim {
  key: string;
  fingerprint: string;
  coordinator: string;
  /** `running`, `done` or `lost`. Any other text is treated as `lost`. */
  state: string;
  /**
   * Absent while the submission runs, and after it was evicted to save memory.
   */
  answer?: StoredAnswer | undefined;
  /** True if only a start record is known; the fingerprint is then empty. */
  fromStartRecord: boolean;
}
