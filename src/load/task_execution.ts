/**
 * One execution of a task at a worker. Times are from the start of the load
 * run, in milliseconds.
 */
export interface TaskExecution {
  readonly key: string;
  readonly index: number;
  /** Index of the worker in the cluster shape. */
  readonly worker: number;
  readonly startMs: number;
  readonly endMs: number;
}
