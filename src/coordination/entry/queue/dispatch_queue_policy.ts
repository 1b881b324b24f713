import type { EnqueueOptions } from "./enqueue_options.ts";

/** Decides which tasks may leave the queue. */
export interface DispatchQueuePolicy {
  /** Returns whether any task of the service can be placed now. */
  hasAvailableAgent: (service: string) => boolean;
  /** Returns whether this task can be placed now. */
  canPlace: (options: EnqueueOptions) => boolean;
  /**
   * Gets the largest number of tasks of a customer, or of one of its teams,
   * that may be running for this entry.
   */
  getMaxRunning: (customer: string, team?: string) => number;
}
