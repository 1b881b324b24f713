import type { ClaimWaiter } from "./claim_waiter.ts";

/** Maximum number of waiting requests. One request takes well under 1 KB. */
const MAX_WAITERS = 20_000;

/** Claim requests that wait for a final reply, grouped by key. */
export class ClaimWaiters {
  readonly #waiters = new Map<string, ClaimWaiter[]>();
  readonly #limit: number;
  #count = 0;

  constructor(options: { limit?: number } = {}) {
    this.#limit = options.limit ?? MAX_WAITERS;
  }

  /** Gets the keys that have waiting requests. */
  getKeys(): string[] {
    return [...this.#waiters.keys()];
  }

  /** Adds a request. Returns false when the limit is reached. */
  add(waiter: ClaimWaiter): boolean {
    const { key } = waiter.claim;
    // An entry whose stream broke sends its claim again on the next stream.
    const openWaiters = this.remove(key).filter((waiter) =>
      waiter.isStreamOpen()
    );
    if (this.#count + openWaiters.length >= this.#limit) {
      this.#setWaiters(key, openWaiters);
      return false;
    }
    this.#setWaiters(key, [...openWaiters, waiter]);
    return true;
  }

  /** Removes the requests for a key and returns them. */
  remove(key: string): ClaimWaiter[] {
    const waiters = this.#waiters.get(key) ?? [];
    this.#waiters.delete(key);
    this.#count -= waiters.length;
    return waiters;
  }

  #setWaiters(key: string, waiters: ClaimWaiter[]): void {
    if (waiters.length > 0) {
      this.#waiters.set(key, waiters);
      this.#count += waiters.length;
    }
  }
}
