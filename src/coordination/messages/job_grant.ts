/** Tells an agent that a home has granted a job to an entry. */
export interface JobGrant {
  /** Name of the entry. */
  entry: string;
  /** Incarnation of the entry. */
  incarnation: string;
  jobId: string;
  /** Number of the claim. */
  number: number;
  /** Name of the home. */
  home: string;
  /** Spec of the job, if this home passes it on. */
  spec?: string | undefined;
}
