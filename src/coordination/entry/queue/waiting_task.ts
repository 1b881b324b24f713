import type { DispatchQueueOptions } from "./dispatch_queue_options.ts";

/** A task in the queue. */
export interface WaitingTask {
  readonly run: () => Promise<unknown>;
  readonly options: DispatchQueueOptions;
  /** Order of arrival. */
  readonly sequence: number;
  isRemoved: boolean;
}
