/**
 * The requests that an entry has read and not handled yet, and which of them is
 * next. The load it answers: more requests than the entry has processor time for,
 * in bursts of one kind or from one caller. In order of arrival, requests with
 * little slack wait behind those with much, and those whose latency target has
 * passed are worked on before others that could still meet it.
 *
 * The order: urgent priorities first; of one priority those that can still meet
 * their latency target; of these the caller that has got least; of its requests
 * the one that must start first. When none can meet its target, the one that has
 * missed it by least. After `URGENT_TAKES` others, one take goes to each less urgent
 * priority with a request that is about to miss its target, so that more urgent ones
 * can't starve it; others wait until nothing more urgent does, or until they are
 * of no use any more.
 *
 * The queue is short, since what can't be of use is taken out: a look at all
 * requests costs less than keeping them in order would.
 */
import { CallerShares } from "./caller_shares.ts";
import type { QueuedRequest } from "./queued_request.ts";

/** Takes by urgency after which a less urgent request is taken that needs it. */
const URGENT_TAKES = 3;

/**
 * A request is about to miss its target when not more requests than these could
 * be handled before: two of the takes that are kept for its priority.
 */
const RISK_TAKES = 2 * (URGENT_TAKES + 1);

/** Weight of the latest time in the mean time that a request takes. */
const COST_WEIGHT = 0.1;

/** Time that a request takes until one was measured, in milliseconds. */
const INITIAL_COST_MS = 3;

export class IntakeQueue<T extends QueuedRequest = QueuedRequest> {
  readonly #requests = new Map<string, T>();
  readonly #shares = new Map<number, CallerShares>();
  #costMs = INITIAL_COST_MS;
  /** Takes since one of a priority, while a request of it needed one. */
  readonly #passedTakes = new Map<number, number>();

  get size(): number {
    return this.#requests.size;
  }

  /** Gets the mean time from a request that is handled to the next one, in ms. */
  get costMs(): number {
    return this.#costMs;
  }

  /** Finds a request by the id of its job. */
  find(jobId: string): T | undefined {
    return this.#requests.get(jobId);
  }

  /** Counts the waiting requests of a priority. */
  count(priority: number): number {
    let count = 0;
    for (const request of this.#requests.values()) {
      count += request.priority === priority ? 1 : 0;
    }
    return count;
  }

  add(request: T): void {
    this.#requests.set(request.jobId, request);
    this.#getShares(request.priority).add(request.caller);
  }

  /** Takes a request out that is not to be handled. */
  remove(request: T): void {
    if (this.#requests.delete(request.jobId)) {
      this.#getShares(request.priority).remove(request.caller);
      this.#clearSharesIfEmpty();
    }
  }

  /** Takes the request that is to be handled next. */
  takeNext(now: number): T | undefined {
    const next = this.#selectNext(now);
    if (next === undefined) {
      return undefined;
    }
    this.#getShares(next.priority).advance(next.caller);
    this.remove(next);
    return next;
  }

  /** Takes out the requests whose answer can't be of use to their callers. */
  takeExpired(now: number): T[] {
    const expired = [...this.#requests.values()]
      .filter(({ usefulUntil }) => usefulUntil < now);
    expired.forEach((request) => this.remove(request));
    return expired;
  }

  /**
   * Records what requests have taken, until the next one could be handled.
   * @param requests - The requests that were handled since the last record.
   * @param tookMs - Time that they took together, in milliseconds.
   */
  recordCost(
    requests: readonly Pick<QueuedRequest, "priority" | "caller">[],
    tookMs: number,
  ): void {
    const costMs = tookMs / requests.length;
    for (const { priority, caller } of requests) {
      this.#costMs += COST_WEIGHT * (costMs - this.#costMs);
      this.#shares.get(priority)?.recordCost(caller, costMs);
    }
  }

  /**
   * Estimates how long a further request would wait, in milliseconds: for those
   * that are more urgent, and for its own priority up to the caller's share.
   */
  estimateWaitMs(
    { priority, caller }: Pick<QueuedRequest, "priority" | "caller">,
  ): number {
    let count = this.#shares.get(priority)?.countBefore(caller) ?? 0;
    for (const request of this.#requests.values()) {
      count += request.priority < priority ? 1 : 0;
    }
    return count * this.#costMs;
  }

  #selectNext(now: number): T | undefined {
    let next: T | undefined;
    const atRisk = new Map<number, T>();
    for (const request of this.#requests.values()) {
      if (next === undefined || this.#precedes(request, next, now)) {
        next = request;
      }
      if (this.#isAtRisk(request, now)) {
        const other = atRisk.get(request.priority);
        if (other === undefined || this.#precedes(request, other, now)) {
          atRisk.set(request.priority, request);
        }
      }
    }
    if (next === undefined) {
      return undefined;
    }
    return this.#selectPassedOver(next, atRisk) ?? next;
  }

  /** Selects a request at risk of a priority that was passed over too often. */
  #selectPassedOver(
    { priority: nextPriority }: T,
    atRisk: ReadonlyMap<number, T>,
  ): T | undefined {
    let selected: T | undefined;
    for (const [priority, request] of atRisk) {
      if (priority > nextPriority) {
        const passedTakes = this.#passedTakes.get(priority) ?? 0;
        this.#passedTakes.set(priority, passedTakes + 1);
        if (
          passedTakes >= URGENT_TAKES &&
          priority > (selected?.priority ?? nextPriority)
        ) {
          selected = request;
        }
      }
    }
    this.#passedTakes.delete(selected?.priority ?? nextPriority);
    return selected;
  }

  #isAtRisk(request: T, now: number): boolean {
    return this.#canMeetTarget(request, now) &&
      request.latestStartAt < now + RISK_TAKES * this.#costMs;
  }

  /** Returns whether a request that is handled now can meet its target. */
  #canMeetTarget({ latestStartAt }: T, now: number): boolean {
    return latestStartAt >= now + this.#costMs;
  }

  #precedes(request: T, other: T, now: number): boolean {
    if (request.priority !== other.priority) {
      return request.priority < other.priority;
    }
    const canMeet = this.#canMeetTarget(request, now);
    if (canMeet !== this.#canMeetTarget(other, now)) {
      return canMeet;
    }
    const shares = this.#getShares(request.priority);
    const difference = shares.getTag(request.caller) -
      shares.getTag(other.caller);
    if (difference !== 0) {
      return difference < 0;
    }
    return canMeet
      ? request.latestStartAt < other.latestStartAt
      : request.latestStartAt > other.latestStartAt;
  }

  #getShares(priority: number): CallerShares {
    let shares = this.#shares.get(priority);
    if (shares === undefined) {
      shares = new CallerShares();
      this.#shares.set(priority, shares);
    }
    return shares;
  }

  #clearSharesIfEmpty(): void {
    if (this.#requests.size === 0) {
      this.#shares.forEach((shares) => shares.clear());
    }
  }
}
