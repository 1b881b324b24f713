/**
 * One run of a task at a worker. Times are from the start of the load, in
 * milliseconds.
 */
export interface TaskExecution {
  readonly key: string;
  readonly index: number;
  /** Position of the worker in the shape. */
  readonly worker: number;
  readonly startMs: number;
  readonly endMs: number;
}
