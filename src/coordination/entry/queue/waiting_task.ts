import type { EnqueueOptions } from "./enqueue_options.ts";

/** A task in the queue. */
export interface WaitingTask {
  readonly run: () => Promise<unknown>;
  readonly options: EnqueueOptions;
  isRemoved: boolean;
}
