/** State of one idempotency key. */
export interface Claim<Answer> {
  readonly key: string;
  /**
   * Digest of the request; empty when the key is known only from a start
   * record.
   */
  readonly fingerprint: string;
  /** Member id of the entry that runs the submission. */
  readonly coordinator: string;
  readonly state: "running" | "done" | "lost";
  /**
   * The final answer, if the state is `done` and the answer wasn't dropped to
   * save memory.
   */
  readonly answer?: Answer | undefined;
  /** Monotonic time after which the claim may be removed, in milliseconds. */
  readonly expiresAt: number;
}
