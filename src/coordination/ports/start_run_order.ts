import type { WorkerOrder } from "./worker_order.ts";

/** Orders a worker to start one run of a task. */
export interface StartRunOrder extends WorkerOrder {
  readonly task: string;
  readonly run: number;
  readonly spec: string;
  /** End of the lease of all runs, on the worker's clock, in milliseconds. */
  readonly leaseUntilMs: number;
}
