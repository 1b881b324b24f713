import type { DispatchQueueOptions } from "./dispatch_queue_options.ts";

/** A task in the queue. */
export interface WaitingTask {
  readonly run: () => Promise<unknown>;
  readonly options: DispatchQueueOptions;
  isRemoved: boolean;
}
