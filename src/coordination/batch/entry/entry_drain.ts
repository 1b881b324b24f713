import { setTimeout as wait } from "node:timers/promises";

/**
 * Shortest time between the stop request and the end of the process, in
 * milliseconds: the load balancer opens new connections until it has checked
 * the readiness twice.
 */
const MIN_DRAIN_MS = 3_000;

/**
 * Longest time between the stop request and the end of the process, in
 * milliseconds.
 */
const MAX_DRAIN_MS = 5_600;

/** Time without a job after which the process may end, in milliseconds. */
const MIN_IDLE_MS = 1_000;

/** Time reserved for sending the last answers, in milliseconds. */
const ANSWER_SEND_MS = 100;

/** Interval of the check for open jobs, in milliseconds. */
const CHECK_INTERVAL_MS = 20;

/**
 * The graceful shutdown of an entry. Clients continue to use a connection until
 * it is closed with its next answer, so jobs are served as long as they can end
 * before the process does.
 */
export class EntryDrain {
  #startedAt: number | undefined;

  get isStarted(): boolean {
    return this.#startedAt !== undefined;
  }

  /** Gets the time that is left for a new job, in milliseconds. */
  getTimeLeftMs(): number {
    return this.#startedAt === undefined
      ? Infinity
      : MAX_DRAIN_MS - ANSWER_SEND_MS - (performance.now() - this.#startedAt);
  }

  /** Starts the shutdown, and waits until the process may end. */
  async run(getOpenJobCount: () => number): Promise<void> {
    this.#startedAt = performance.now();
    let lastBusyAt = this.#startedAt;
    for (;;) {
      await wait(CHECK_INTERVAL_MS);
      const now = performance.now();
      if (getOpenJobCount() > 0) {
        lastBusyAt = now;
      }
      const elapsedMs = now - this.#startedAt;
      const isIdle = elapsedMs >= MIN_DRAIN_MS &&
        now - lastBusyAt >= MIN_IDLE_MS;
      if (elapsedMs >= MAX_DRAIN_MS || isIdle) {
        return;
      }
    }
  }
}
