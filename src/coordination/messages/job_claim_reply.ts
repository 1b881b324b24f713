/** Reply of an agent to a `JobClaim`. */
export interface JobClaimReply {
  jobId: string;
  /** Number of the claim; 0 in the reply to an order that was refused. */
  number: number;
  /**
   * `held`: another entry coordinates an earlier submission and is asked to stop
   * it; `granted` follows once no run of that entry can be executing.
   */
  outcome: "granted" | "held";
  /** Name of the entry that holds the job; empty when granted. */
  holder: string;
}
