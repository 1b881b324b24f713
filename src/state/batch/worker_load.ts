import type { TaskResources } from "./task_resources.ts";

/** What an entry knows of a worker when it places tasks. */
export interface WorkerLoad {
  readonly agentId: string;
  readonly zone: string;
  readonly labels: readonly string[];
  readonly capacity: TaskResources;
  /** Free resources, less those of tasks sent since the last report. */
  readonly free: TaskResources;
  /** Part of the free places that this entry takes between two reports. */
  readonly ownShare: number;
  /** Added before a number of own places is rounded down, 0 up to 1. */
  readonly shareRounding: number;
  /** Actual run time over declared run time. */
  readonly slowdown: number;
  /** Expected remaining time of each running task, in milliseconds. */
  readonly runningLeftMs: readonly number[];
  /** Waiting runs by priority. */
  readonly queuedRuns: readonly number[];
  /** Expected run time of all of these together, in milliseconds, by priority. */
  readonly queuedMs: readonly number[];
  /** Share of the latest runs that failed, 0 to 1. */
  readonly failureShare: number;
}
