import type { TaskResources } from "./task_resources.ts";

/** The load of a worker as an entry knows it when it places tasks. */
export interface WorkerLoad {
  readonly agentId: string;
  readonly zone: string;
  /** Rack of the worker; empty if it isn't known. */
  readonly rack: string;
  readonly labels: readonly string[];
  readonly capacity: TaskResources;
  /** Free resources, less those of tasks sent since the last report. */
  readonly free: TaskResources;
  /**
   * Share of the free slots that this entry may use between two reports: 1
   * divided by the number of entries that are connected to the agent.
   */
  readonly ownSlotShare: number;
  /**
   * Random number from 0 up to 1 that is added to the number of own slots
   * before that is rounded down, so that fractions of a slot count on average.
   */
  readonly slotRoundingOffset: number;
  /** Ratio of actual to declared run times. */
  readonly slowdown: number;
  /** Expected remaining time of each running task, in milliseconds. */
  readonly runningLeftMs: readonly number[];
  /** Number of queued runs by priority. */
  readonly queuedRuns: readonly number[];
  /**
   * Total expected run time of the queued runs by priority, in milliseconds.
   */
  readonly queuedMs: readonly number[];
  /** Share of the latest runs that failed, 0 to 1. */
  readonly failureShare: number;
  /**
   * Number of its runs whose tasks were under a crash of another worker, and that
   * have not passed that point of their work.
   */
  readonly suspectRuns: number;
  /** When the worker's last report arrived, on the monotonic clock, in milliseconds. */
  readonly reportedAt: number;
}
