/** One run of a task, with its resource requirements. */
export interface RunOrder {
  task: string;
  run: number;
  /** Required CPU, in thousandths of a core. */
  cpuMillis: number;
  memoryMb: number;
  gpus: number;
  /** Estimated run time on a worker of average speed, in milliseconds. */
  expectedMs: number;
  /** Number of workers that have crashed under the task. */
  crashes: number;
  /** Run time before the latest of these crashes in milliseconds, 0 if none. */
  crashedAfterMs: number;
  /**
   * Whether the agent may decline the run, since another worker may have room for
   * it in time.
   */
  canBeDeclined: boolean;
  /**
   * Time after which the agent checks whether the run, unless it has started, will
   * meet its latency target, in milliseconds; undefined without such a check.
   */
  recheckAfterMs?: number | undefined;
}
