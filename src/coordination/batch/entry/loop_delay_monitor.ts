/**
 * Measures how far an entry is behind: the time between two turns of its event
 * loop. An entry without enough processor time reads requests and frames late,
 * and neither the load of the workers nor its own queue of jobs shows that.
 */

/** Interval of the timer whose delay is measured, in milliseconds. */
const TICK_INTERVAL_MS = 20;

/**
 * Time after a pause of the process in which requests are handled that arrived
 * during it, in milliseconds.
 */
const PAUSE_EFFECT_MS = 100;

export interface LoopDelayMonitorOptions {
  getTime?: () => number;
}

/** Measures the delay of the event loop of this process. */
export class LoopDelayMonitor {
  readonly #getTime: () => number;
  #lastTickAt: number;
  #previousDelayMs = 0;
  #lastDelayMs = 0;
  /** The longest delay of the latest ticks. */
  #pause = { lengthMs: 0, endedAt: -Infinity };
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

  /**
   * Gets the longest time for which a request that is handled now can have waited
   * for this process, in milliseconds. A single long turn counts here.
   */
  get longestWaitMs(): number {
    return Math.max(this.#getCurrentDelayMs(), this.#getLongestWaitMs());
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
    if (this.#lastDelayMs >= this.#getLongestWaitMs()) {
      this.#pause = { lengthMs: this.#lastDelayMs, endedAt: this.#lastTickAt };
    }
  }

  #getLongestWaitMs(): number {
    const { lengthMs, endedAt } = this.#pause;
    return this.#getTime() - endedAt < PAUSE_EFFECT_MS ? lengthMs : 0;
  }

  #getCurrentDelayMs(): number {
    return Math.max(0, this.#getTime() - this.#lastTickAt - TICK_INTERVAL_MS);
  }
}
