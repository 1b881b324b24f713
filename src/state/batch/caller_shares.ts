/** Known callers above which those that don't wait are forgotten. */
const MAX_CALLERS = 256;

/** What a caller has got of the time of an entry. */
interface CallerShare {
  /** Time that the caller has got, counted from the fair time of its first wait. */
  tag: number;
  queued: number;
}

/**
 * Shares the time of an entry between the callers of one priority by start-time
 * fair queuing: the caller that has got least is served next. A caller that has
 * not waited for a time gets no more later. The load it answers: one caller
 * sends far more requests than the others.
 */
export class CallerShares {
  readonly #callers = new Map<string, CallerShare>();
  /** Tag of the caller that was served last. */
  #fairTime = 0;

  /** Counts a request that begins to wait. */
  add(caller: string): void {
    const share = this.#callers.get(caller);
    if (share === undefined) {
      this.#removeIdleCallers();
      this.#callers.set(caller, { tag: this.#fairTime, queued: 1 });
      return;
    }
    if (share.queued++ === 0) {
      share.tag = Math.max(share.tag, this.#fairTime);
    }
  }

  /** Counts a request that no longer waits. */
  remove(caller: string): void {
    const share = this.#callers.get(caller);
    if (share !== undefined) {
      share.queued--;
    }
  }

  /** Gets what a caller has got, for comparison with others that wait. */
  getTag(caller: string): number {
    return this.#callers.get(caller)?.tag ?? this.#fairTime;
  }

  /** Records that the next request of a caller is handled. */
  advance(caller: string): void {
    this.#fairTime = Math.max(this.#fairTime, this.getTag(caller));
  }

  /** Charges a caller for time that its requests have taken, in milliseconds. */
  recordCost(caller: string, costMs: number): void {
    const share = this.#callers.get(caller);
    if (share !== undefined) {
      share.tag += costMs;
    }
  }

  /** Counts the requests that are served before a further one of a caller. */
  countBefore(caller: string): number {
    const ownCount = this.#callers.get(caller)?.queued ?? 0;
    let count = 0;
    for (const { queued } of this.#callers.values()) {
      count += Math.min(queued, ownCount + 1);
    }
    return count;
  }

  /** Forgets all callers, when nobody waits. */
  clear(): void {
    this.#callers.clear();
    this.#fairTime = 0;
  }

  /** Forgets callers that would start anew, when there are many. */
  #removeIdleCallers(): void {
    if (this.#callers.size < MAX_CALLERS) {
      return;
    }
    for (const [caller, { tag, queued }] of this.#callers) {
      if (queued === 0 && tag <= this.#fairTime) {
        this.#callers.delete(caller);
      }
    }
  }
}
