/** A run that was at a worker when it crashed. */
export interface CrashedRun {
  readonly task: string;
  /** Name of the route of its job. */
  readonly route: string;
  /** Time from its start to the crash, in milliseconds. */
  readonly ranMs: number;
  /**
   * Whether the worker had confirmed the start. Otherwise the order may have met
   * a worker that was crashing already.
   */
  readonly hasStarted: boolean;
  /** Number of workers that had crashed under the task before. */
  readonly earlierCrashes: number;
}
