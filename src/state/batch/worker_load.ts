import type { TaskResources } from "./task_resources.ts";

/** What an entry knows of a worker when it places tasks. */
export interface WorkerLoad {
  readonly agentId: string;
  readonly zone: string;
  readonly labels: readonly string[];
  readonly capacity: TaskResources;
  /** Free resources, less those of tasks sent since the last report. */
  readonly free: TaskResources;
  /** Actual run time over declared run time. */
  readonly slowdown: number;
  /** Remaining work of running tasks, in core milliseconds. */
  readonly runningCoreMs: number;
  /** Waiting work by priority, in core milliseconds. */
  readonly queuedCoreMs: readonly number[];
  /** Share of the latest runs that failed, 0 to 1. */
  readonly failureShare: number;
}
