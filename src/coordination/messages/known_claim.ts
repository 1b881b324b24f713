import type { StoredAnswer } from "./stored_answer.ts";

/** What a member knows about one key. */
export interface KnownClaim {
  key: string;
  fingerprint: string;
  coordinator: string;
  /** `running`, `done` or `lost`; other text is handled as lost. */
  state: string;
  /**
   * Absent while the submission runs, and when it was dropped to save memory.
   */
  answer?: StoredAnswer | undefined;
  /** True when only a start record is known, so the fingerprint is empty. */
  fromStartRecord: boolean;
}
