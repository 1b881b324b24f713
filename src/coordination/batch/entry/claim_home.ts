import type { JobClaim, JobConfirmation } from "../../messages/mod.ts";

/** An agent that can record which entry coordinates a job. */
export interface ClaimHome {
  readonly agentId: string;
  /** Number of the current stream to the agent. */
  readonly streamNumber: number;
  /** Whether the agent is connected, and its frames arrive. */
  readonly canKeepClaims: boolean;
  /** Whether it is not known yet if the agent can be reached. */
  readonly isConnecting: boolean;
  /**
   * Whether other entries may still claim jobs at the agent without being told that
   * this entry doesn't reach it.
   */
  readonly isInDoubt: boolean;
  /** Whether this entry has had a stream to the agent. */
  readonly hasBeenReached: boolean;
  /** Number of entries that the agent hears; 0 if it is not known. */
  readonly entryCount: number;
  /** Time since the agent's process started to keep claims, in milliseconds. */
  readonly uptimeMs: number;
  /**
   * Time since the newest frame was sent to the agent that it has acknowledged,
   * in milliseconds.
   */
  readonly proofAgeMs: number;
  /** IP address and port at which the agent accepts streams. */
  readonly address: string;
  claimJob(claim: JobClaim): void;
  /** Asks for the replies to claims that the agent keeps back for another frame. */
  requestClaimReplies(): void;
  /** Tells the agent that all homes have granted a claim. */
  confirmJob(confirmation: JobConfirmation): void;
  /** @param options.canWait - Whether the release may wait for another frame. */
  releaseJobs(
    jobIds: readonly string[],
    options: { canWait: boolean },
  ): void;
}
