/**
 * Measures how far an entry is behind: the time between two turns of its event
 * loop. An entry without enough processor time reads requests and frames late,
 * and neither the load of the workers nor its own queue of jobs shows that.
 */

/** Interval of the timer whose delay is measured, in milliseconds. */
const TICK_INTERVAL_MS = 20;

export interface LoopDelayMonitorOptions {
  getTime?: () => number;
}

/** Measures the delay of the event loop of this process. */
export class LoopDelayMonitor {
  readonly #getTime: () => number;
  #lastTickAt: number;
  #previousDelayMs = 0;
  #lastDelayMs = 0;
  #timer: NodeJS.Timeout | undefined;

  constructor(options: LoopDelayMonitorOptions = {}) {
    this.#getTime = options.getTime ?? (() => performance.now());
    this.#lastTickAt = this.#getTime();
  }

  /**
   * Gets the delay that two consecutive turns of the event loop, the current one
   * included, have at least had, in milliseconds. A single long turn, such as a
   * collection of garbage, does not count.
   */
  get delayMs(): number {
    return Math.max(
      Math.min(this.#previousDelayMs, this.#lastDelayMs),
      Math.min(this.#lastDelayMs, this.#getCurrentDelayMs()),
    );
  }

  start(): void {
    this.#lastTickAt = this.#getTime();
    this.#timer = setInterval(() => this.recordTick(), TICK_INTERVAL_MS);
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Records that the timer has fired. */
  recordTick(): void {
    this.#previousDelayMs = this.#lastDelayMs;
    this.#lastDelayMs = this.#getCurrentDelayMs();
    this.#lastTickAt = this.#getTime();
  }

  #getCurrentDelayMs(): number {
    return Math.max(0, this.#getTime() - this.#lastTickAt - TICK_INTERVAL_MS);
  }
}
