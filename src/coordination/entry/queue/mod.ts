export { DispatchQueue } from "./dispatch_queue.ts";
export type { EnqueueOptions } from "./enqueue_options.ts";
