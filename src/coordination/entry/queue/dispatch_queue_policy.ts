import type { EnqueueOptions } from "./enqueue_options.ts";

/** What the queue asks before a task leaves it. */
export interface DispatchQueuePolicy {
  /** Can tasks of the service be placed at all now? */
  hasAvailableAgent: (service: string) => boolean;
  /** Can this task be placed now? */
  canPlace: (options: EnqueueOptions) => boolean;
  /**
   * Gets the number of tasks of a customer, or of one of its teams, that may
   * run at this entry.
   */
  getMaxRunning: (customer: string, team?: string) => number;
}
