import type { RunOrder } from "./run_order.ts";

/** Asks an agent to run tasks of one job. */
export interface StartRuns {
  /** Counts the frames of this kind on the stream, from 1. */
  batch: number;
  jobId: string;
  spec: string;
  /** 0 is the most urgent. */
  priority: number;
  /** Time in which the job can still be answered, in milliseconds. */
  timeLeftMs: number;
  /**
   * Time in which the job is answered within its latency target, in
   * milliseconds; negative when that time has passed.
   */
  targetLeftMs: number;
  runs: RunOrder[];
}
