/** A job of a load run, created before the run starts. */
export interface PlannedJob {
  readonly key: string;
  /** Planned send time from the start of the run, in milliseconds. */
  readonly arrivalMs: number;
  readonly customer: string;
  readonly service: string;
  readonly repeatable: boolean;
  /** Index of the entry that the job is sent to. */
  readonly entry: number;
  /** Run time of each task on a worker of speed 1, in milliseconds. */
  readonly runMs: readonly number[];
  /**
   * Time limit that the job states for each of its tasks, in milliseconds; a
   * multiple of the run time.
   */
  readonly timeoutMs: readonly number[];
}
