/** A run that was at a worker when it crashed. */
export interface CrashedRun {
  readonly task: string;
  /** Name of the route of its job. */
  readonly route: string;
  /** Time from its start to the crash, in milliseconds. */
  readonly ranMs: number;
  /** Number of workers that had crashed under the task before. */
  readonly earlierCrashes: number;
}
