import type { PlannedJob } from "./planned_job.ts";

/**
 * What became of one job of a run. Times are from the start of the run, in
 * milliseconds.
 */
export interface JobResult {
  readonly job: PlannedJob;
  /** Time by which the request was sent later than planned. */
  readonly lateMs: number;
  /**
   * Time at which the client has the answer, the network time back included;
   * undefined without one.
   */
  readonly answeredMs: number | undefined;
  /**
   * `complete`, an error kind of the answer, `no_answer`, or `wrong_answer`.
   */
  readonly kind: string;
  /** Outcome word of a failed answer. */
  readonly outcome?: string | undefined;
  /** Error kind of each task of a failed answer. */
  readonly taskKinds: readonly string[];
}
