/** Reply of a home to a `JobClaim`. */
export interface JobClaimReply {
  jobId: string;
  /** Number of the claim. */
  number: number;
  /**
   * `held`: another entry coordinates the job and is asked to stop it; `granted`
   * follows once no run of that entry can be executing.
   */
  outcome: "granted" | "held";
  /** Name of the entry that holds the job; empty when granted. */
  holder: string;
}
