import type { JobClaim } from "../../messages/mod.ts";

/** An agent that can record which entry coordinates a job. */
export interface ClaimHome {
  readonly agentId: string;
  /** Number of the current stream to the agent. */
  readonly streamNumber: number;
  /** Whether the agent is connected, and its frames arrive. */
  readonly canKeepClaims: boolean;
  /**
   * Time since the newest frame was sent to the agent that it has acknowledged,
   * in milliseconds.
   */
  readonly proofAgeMs: number;
  claimJob(claim: JobClaim): void;
  releaseJobs(jobIds: string[]): void;
}
