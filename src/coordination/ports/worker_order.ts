/** Fields that all orders to a worker have in common. */
export interface WorkerOrder {
  readonly workerId: string;
  /**
   * Fencing token. The worker rejects an order whose fence is lower than one
   * that it has seen.
   */
  readonly fence: number;
  /** Maximum time to wait for the reply, in milliseconds. */
  readonly timeoutMs: number;
}
