import type { EnqueueOptions } from "./enqueue_options.ts";

/** A task that waits in the queue. */
export interface WaitingTask {
  readonly run: () => Promise<unknown>;
  readonly options: EnqueueOptions;
  /** Whether the task was removed without being dequeued. */
  isRemoved: boolean;
}
