import type { RunOrder } from "./run_order.ts";

/** Requests an agent to run tasks of one job. */
export interface StartRuns {
  /**
   * Sequence number of this `startRuns` frame on the stream, from 1. The status
   * of the worker returns it as `receivedBatch`.
   */
  batch: number;
  /**
   * Revision of the profile by which the runs were placed. The agent returns them if its
   * worker has another one by now. Entries of earlier versions don't send it.
   */
  workerRevision?: number | undefined;
  jobId: string;
  /** Time since the entry has got the job, in milliseconds. */
  ageMs: number;
  /** Number of the claim that homes are asked to grant; 0 if they have. */
  claimNumber: number;
  /**
   * Number of homes that must tell of their grant before a run is started. If there
   * are any, the spec comes with the grant.
   */
  awaitedHomes: number;
  /** Name of the route of the job. */
  route: string;
  /** Empty while homes are awaited. */
  spec: string;
  /** Priority of the job; 0 is the most urgent. */
  priority: number;
  /** Time left until the deadline of the job, in milliseconds. */
  timeLeftMs: number;
  /**
   * Time left until the latency target of the job, in milliseconds. Negative
   * after that time has passed.
   */
  targetLeftMs: number;
  /**
   * Expected time from the decline of a run until its start at another worker, in
   * milliseconds; 0 by default.
   */
  detourMs?: number;
  runs: RunOrder[];
}
