/** Length of one interval, in milliseconds. */
const INTERVAL_MS = 250;

/** Intervals over which the rate is measured. */
const INTERVALS = 8;

export interface CompletionRateOptions {
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/** The rate at which the tasks of this entry have ended over the last two seconds. */
export class CompletionRate {
  readonly #getTime: () => number;
  readonly #counts = new Array<number>(INTERVALS).fill(0);
  #interval = 0;

  constructor(options: CompletionRateOptions = {}) {
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /** Records the end of a task. */
  record(): void {
    this.#removeOld();
    const index = this.#interval % INTERVALS;
    this.#counts[index] = (this.#counts[index] ?? 0) + 1;
  }

  /** Gets the rate over the last whole intervals, in tasks per millisecond. */
  get(): number {
    this.#removeOld();
    const current = this.#interval % INTERVALS;
    const ended = this.#counts.reduce(
      (sum, count, index) => index === current ? sum : sum + count,
      0,
    );
    return ended / ((INTERVALS - 1) * INTERVAL_MS);
  }

  #removeOld(): void {
    const interval = Math.floor(this.#getTime() / INTERVAL_MS);
    const first = Math.max(this.#interval + 1, interval - INTERVALS + 1);
    for (let n = first; n <= interval; n++) {
      this.#counts[n % INTERVALS] = 0;
    }
    this.#interval = interval;
  }
}
