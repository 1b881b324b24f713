/**
 * Step above a fence that made the worker refuse an order, in milliseconds:
 * more than the clocks of two processes of an agent can differ.
 */
const REFUSED_STEP_MS = 60_000;

/**
 * The fencing number of the orders to a worker, which ignores orders with a
 * lower number than it has seen. It begins at the wall clock time, so that a
 * restarted agent has a higher one than its predecessor.
 */
export class Fence {
  #value: number;

  constructor(wallClockMs: number) {
    this.#value = Math.floor(wallClockMs);
  }

  get value(): number {
    return this.#value;
  }

  /**
   * Raises the fence: once the worker has seen the new value, it ignores orders
   * that were sent before and arrive later.
   */
  raise(): void {
    this.#value++;
  }

  /**
   * Raises the fence above a refused one, which shows that the worker has seen
   * a higher fence from another process.
   */
  raiseAbove(refusedFence: number): void {
    if (this.#value <= refusedFence) {
      this.#value = refusedFence + REFUSED_STEP_MS;
    }
  }
}
