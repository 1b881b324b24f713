import type { WorkerOrder } from "./worker_order.ts";

/**
 * Renews the lease of all runs at a worker, and requests a report of the
 * running and ended runs.
 */
export interface LeaseRenewal extends WorkerOrder {
  /**
   * End of the lease on the worker's clock, in milliseconds. If undefined, only
   * the report is requested and nothing is renewed.
   */
  readonly leaseUntilMs: number | undefined;
  /** The report may omit ended runs up to this sequence number. */
  readonly confirmedUpTo: number;
  /**
   * Maximum time for which the worker may delay its reply until a run ends, in
   * milliseconds.
   */
  readonly waitMs: number;
}
