/**
 * Step after a worker refused a fence: more than the clocks of two processes of
 * an agent can differ, in milliseconds.
 */
const REFUSED_STEP_MS = 60_000;

/**
 * The fence that orders to a worker carry. It begins at the time of day, so that
 * a restarted agent is above its predecessor. Raising it makes the worker ignore
 * orders that are still on their way.
 */
export class Fence {
  #value: number;

  constructor(wallClockMs: number) {
    this.#value = Math.floor(wallClockMs);
  }

  get value(): number {
    return this.#value;
  }

  /** Makes the worker ignore the orders sent so far. */
  raise(): void {
    this.#value++;
  }

  /** Moves above a fence that the worker has seen from someone else. */
  raiseAbove(refusedFence: number): void {
    if (this.#value <= refusedFence) {
      this.#value = refusedFence + REFUSED_STEP_MS;
    }
  }
}
