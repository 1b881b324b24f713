import type { WorkerOrder } from "./worker_order.ts";

/** Orders a worker to stop one run of a task. */
export interface StopRunOrder extends WorkerOrder {
  readonly task: string;
  readonly run: number;
}
