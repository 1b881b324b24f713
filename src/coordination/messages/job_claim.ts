/** Asks an agent, a home of the job, to record who coordinates the job. */
export interface JobClaim {
  jobId: string;
  /** Rises with each claim of an entry; the reply returns it. */
  number: number;
  /** Time since the entry has got the job, in milliseconds. */
  ageMs: number;
  /**
   * Whether the entry already coordinates the job and needs another home. It
   * gives the job up where a later submission has been claimed.
   */
  isRenewal: boolean;
}
