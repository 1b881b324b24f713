import type { TaskResources } from "./task_resources.ts";

/** A run that waits at an agent for room on its worker. */
export interface QueuedRun {
  readonly task: string;
  readonly resources: TaskResources;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Expected run time on a worker of average speed, in milliseconds. */
  readonly expectedMs: number;
  /** When the run arrived, on the monotonic clock, in milliseconds. */
  readonly arrivedAt: number;
  /** Deadline of the answer to its job, on the monotonic clock. */
  readonly deadlineAt: number;
  /** Latency target of its job, as a time on the monotonic clock. */
  readonly latencyTargetAt: number;
  /**
   * When it is decided once more whether the run goes on waiting, on the monotonic
   * clock: after that, another place is of no use to its task. Infinite by default.
   */
  recheckAt?: number;
}
