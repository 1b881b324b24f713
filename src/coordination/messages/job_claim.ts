/** Asks an agent to record that the sender coordinates the job. */
export interface JobClaim {
  jobId: string;
  /** Rises with each claim of an entry; the reply returns it. */
  number: number;
  /** Time since the entry has got the job, in milliseconds. */
  ageMs: number;
  /** Whether the agent decides between this entry and another one. */
  isDeciding: boolean;
  /**
   * Addresses of the agents that are told of the grant, since they wait for it with
   * orders of the job.
   */
  notify: string[];
  /** Spec of the job, which these agents get with the grant; absent at other homes. */
  spec?: string | undefined;
}
