import type { WorkerRefusal } from "./worker_refusal.ts";

/** A worker's reply to an order. */
export interface WorkerReply {
  readonly kind: "reply";
  /** Undefined if the order was executed. */
  readonly refusal: WorkerRefusal | undefined;
  /** Time of the worker's clock in milliseconds; undefined if not reported. */
  readonly workerClockMs: number | undefined;
  /** Start of the incarnation that has replied; undefined if not reported. */
  readonly bornAtMs?: number | undefined;
}
