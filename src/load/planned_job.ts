/** A job of a run, planned before the run starts. */
export interface PlannedJob {
  readonly key: string;
  /** Intended send time from the start of the run, in milliseconds. */
  readonly arrivalMs: number;
  readonly customer: string;
  readonly service: string;
  readonly repeatable: boolean;
  /** Position of the entry that gets the job. */
  readonly entry: number;
  /** Run time of each task on a worker of speed 1, in milliseconds. */
  readonly runMs: readonly number[];
  /**
   * Time limit that the job states for each of its tasks; far above the run
   * times.
   */
  readonly timeoutMs: readonly number[];
}
