import type { WorkerOrder } from "./worker_order.ts";

/** Stops one run of a task. */
export interface StopRunOrder extends WorkerOrder {
  readonly task: string;
  readonly run: number;
}
