export { DispatchQueue } from "./dispatch_queue.ts";
export type { DispatchQueueOptions } from "./dispatch_queue_options.ts";
