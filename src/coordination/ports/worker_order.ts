/** What all orders to a worker carry. */
export interface WorkerOrder {
  readonly workerId: string;
  /** The worker ignores an order whose fence is lower than one it has seen. */
  readonly fence: number;
  /** Longest wait for the answer, in milliseconds. */
  readonly timeoutMs: number;
}
