import { setTimeout as wait } from "node:timers/promises";

/**
 * Time after the request to stop in which new jobs are still served, in
 * milliseconds: callers may send them until the balancer has noticed.
 */
const ACCEPT_MS = 3_000;

/** Time after the request to stop in which the process ends, in milliseconds. */
const END_MS = 5_600;

/** Interval of the check for open jobs, in milliseconds. */
const CHECK_MS = 20;

/**
 * The graceful stop of an entry: new jobs are served until the balancer sends no
 * more, then refused, and open ones are answered before the process ends.
 */
export class EntryDrain {
  #startedAt: number | undefined;

  get isStarted(): boolean {
    return this.#startedAt !== undefined;
  }

  /** Are new jobs still taken? */
  get canAccept(): boolean {
    return this.#startedAt === undefined ||
      performance.now() - this.#startedAt < ACCEPT_MS;
  }

  /** Starts the stop, and waits until the process may end. */
  async run(getOpenJobs: () => number): Promise<void> {
    this.#startedAt = performance.now();
    for (;;) {
      await wait(CHECK_MS);
      const tookMs = performance.now() - this.#startedAt;
      if (tookMs >= END_MS || (tookMs >= ACCEPT_MS && getOpenJobs() === 0)) {
        return;
      }
    }
  }
}
