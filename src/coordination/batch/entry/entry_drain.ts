import { setTimeout as wait } from "node:timers/promises";

/**
 * Least time between the request to stop and the end of the process, in
 * milliseconds: the balancer sends new connections until it has asked twice.
 */
const MIN_MS = 3_000;

/** Most time between the request to stop and the end, in milliseconds. */
const MAX_MS = 5_600;

/** The process ends after this time without a job, in milliseconds. */
const IDLE_MS = 1_000;

/** Time for an answer to leave the process, in milliseconds. */
const ANSWER_MS = 100;

/** Interval of the check for open jobs, in milliseconds. */
const CHECK_MS = 20;

/**
 * The graceful stop of an entry. Callers go on to use their connections until
 * each is closed with its next answer, so jobs are served as long as they can end
 * before the process does.
 */
export class EntryDrain {
  #startedAt: number | undefined;

  get isStarted(): boolean {
    return this.#startedAt !== undefined;
  }

  /** Gets the time that is left for a new job, in milliseconds. */
  getTimeLeft(): number {
    return this.#startedAt === undefined
      ? Infinity
      : MAX_MS - ANSWER_MS - (performance.now() - this.#startedAt);
  }

  /** Starts the stop, and waits until the process may end. */
  async run(getOpenJobs: () => number): Promise<void> {
    this.#startedAt = performance.now();
    let busyAt = this.#startedAt;
    for (;;) {
      await wait(CHECK_MS);
      const now = performance.now();
      if (getOpenJobs() > 0) {
        busyAt = now;
      }
      const tookMs = now - this.#startedAt;
      const isIdle = tookMs >= MIN_MS && now - busyAt >= IDLE_MS;
      if (tookMs >= MAX_MS || isIdle) {
        return;
      }
    }
  }
}
