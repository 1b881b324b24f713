import type { WorkerOrder } from "./worker_order.ts";

/** Renews the lease of all runs at a worker, and asks for what runs there. */
export interface LeaseRenewal extends WorkerOrder {
  /** Undefined only looks, and renews nothing. */
  readonly leaseUntilMs: number | undefined;
  /** Ends up to this sequence number need not be listed again. */
  readonly confirmedUpTo: number;
  /** Time that the answer may wait for an end, in milliseconds. */
  readonly waitMs: number;
}
