/** Asks an entry to confirm a claim, or confirms it to an agent. */
export interface JobConfirmation {
  jobId: string;
  /** Number of the claim. */
  number: number;
  /** Spec of the job; absent in the question. */
  spec?: string | undefined;
}
