import type { PlannedJob } from "./planned_job.ts";

/**
 * Result of one job of a load run. Times are in milliseconds, and points in
 * time count from the start of the load run.
 */
export interface JobResult {
  readonly job: PlannedJob;
  /** Delay of the actual send time after the planned one. */
  readonly lateMs: number;
  /**
   * Time at which the client received the answer, including the simulated
   * network latency; undefined if there was none.
   */
  readonly answeredMs: number | undefined;
  /**
   * `complete`, the error kind of the answer, `no_answer`, or `wrong_answer`
   * for an answer that is malformed or doesn't belong to the job.
   */
  readonly kind: string;
  /** Outcome that a failed answer states. */
  readonly outcome?: string | undefined;
  /** Error kind of each task of a failed answer. */
  readonly taskKinds: readonly string[];
}
