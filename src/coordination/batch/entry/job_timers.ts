/**
 * Longest delay of a timer of Node.js, in milliseconds; a longer one would fire
 * at once.
 */
const MAX_TIMER_MS = 2 ** 31 - 1;

/** The timers of a job that is not answered yet. */
export class JobTimers {
  readonly #timers = new Set<NodeJS.Timeout>();
  #isStopped = false;

  /** Calls a function after a delay, in milliseconds, unless `stop` is called before. */
  start(delayMs: number, handle: () => void): void {
    if (this.#isStopped) {
      return;
    }
    const timer = setTimeout(() => {
      this.#timers.delete(timer);
      handle();
    }, Math.min(delayMs, MAX_TIMER_MS));
    this.#timers.add(timer);
  }

  /** Stops all timers. Later ones are not started. */
  stop(): void {
    this.#isStopped = true;
    this.#timers.forEach((timer) => clearTimeout(timer));
    this.#timers.clear();
  }
}
