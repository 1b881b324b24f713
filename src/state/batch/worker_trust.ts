/**
 * Decides how far a worker is trusted with starts. The load it answers: a worker that
 * refuses starts, fails what it runs, or does so by turns costs each task that is sent
 * to it a detour. It gets few tasks until its runs show that it works: entries prefer
 * others by `failureShare`, and after refused starts it gets none for a while.
 */

/** Weight of the latest run or refused start in the moving average. */
const SAMPLE_WEIGHT = 0.2;

/**
 * Time without starts after the worker refused one as unhealthy, in milliseconds. It
 * doubles from one such time to the next until a run has completed its task.
 */
const PAUSE_MS = { first: 300, max: 600 } as const;

/** Follows the refused starts and the failed runs of a worker. */
export class WorkerTrust {
  #failureShare = 0;
  #nextPauseMs: number = PAUSE_MS.first;
  #pausedUntil = -Infinity;

  /** Gets the share of the latest runs and starts that failed, 0 to 1. */
  get failureShare(): number {
    return this.#failureShare;
  }

  /** Returns whether the worker may get starts. */
  canStart(now: number): boolean {
    return now >= this.#pausedUntil;
  }

  /** Records that the worker completed or failed a task. */
  recordEnd(hasFailed: boolean): void {
    this.#recordSample(hasFailed ? 1 : 0);
    if (!hasFailed) {
      this.#nextPauseMs = PAUSE_MS.first;
    }
  }

  /**
   * Records that the worker refused a start as unhealthy.
   * @param now - Current time on the monotonic clock, in milliseconds.
   */
  recordRefusal(now: number): void {
    this.#recordSample(1);
    if (this.canStart(now)) {
      this.#pausedUntil = now + this.#nextPauseMs;
      this.#nextPauseMs = Math.min(PAUSE_MS.max, 2 * this.#nextPauseMs);
    }
  }

  #recordSample(sample: number): void {
    this.#failureShare += SAMPLE_WEIGHT * (sample - this.#failureShare);
  }
}
