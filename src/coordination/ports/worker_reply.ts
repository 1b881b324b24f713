import type { WorkerRefusal } from "./worker_refusal.ts";

/** A worker's answer to an order. */
export interface WorkerReply {
  readonly kind: "reply";
  /** Undefined when the order was carried out. */
  readonly refusal: WorkerRefusal | undefined;
  /** The worker's clock, in milliseconds; undefined when it wasn't stated. */
  readonly workerClockMs: number | undefined;
}
