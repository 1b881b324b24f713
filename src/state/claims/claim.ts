/** What a home knows about one idempotency key. */
export interface Claim<Answer> {
  readonly key: string;
  /**
   * Digest of the request; empty when only a start record told about the key.
   */
  readonly fingerprint: string;
  /** Member id of the entry that runs the submission. */
  readonly coordinator: string;
  readonly state: "running" | "done" | "lost";
  /**
   * The final answer, when the state is done and the answer wasn't dropped to
   * save memory.
   */
  readonly answer?: Answer | undefined;
  /** Monotonic time after which the claim may be forgotten, in milliseconds. */
  readonly expiresAt: number;
}
