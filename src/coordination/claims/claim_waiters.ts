import type { ClaimWaiter } from "./claim_waiter.ts";

/** Requests that may wait at one home. A request takes well under 1 KB. */
const MAX_WAITERS = 20_000;

/** Claim requests that wait for a final reply, by key. */
export class ClaimWaiters {
  readonly #waiters = new Map<string, ClaimWaiter[]>();
  readonly #limit: number;
  #count = 0;

  constructor(options: { limit?: number } = {}) {
    this.#limit = options.limit ?? MAX_WAITERS;
  }

  /** Gets the keys that are waited for. */
  getKeys(): string[] {
    return [...this.#waiters.keys()];
  }

  /** Adds a request. Returns false when too many wait. */
  add(waiter: ClaimWaiter): boolean {
    const { key } = waiter.claim;
    // An entry whose stream broke asks again on the next one.
    const others = this.remove(key).filter((other) => other.isStreamOpen());
    if (this.#count + others.length >= this.#limit) {
      this.#set(key, others);
      return false;
    }
    this.#set(key, [...others, waiter]);
    return true;
  }

  /** Removes the requests for a key, and gets them. */
  remove(key: string): ClaimWaiter[] {
    const waiters = this.#waiters.get(key) ?? [];
    this.#waiters.delete(key);
    this.#count -= waiters.length;
    return waiters;
  }

  #set(key: string, waiters: ClaimWaiter[]): void {
    if (waiters.length > 0) {
      this.#waiters.set(key, waiters);
      this.#count += waiters.length;
    }
  }
}
