/**
 * Decides how long an agent waits for the answer to an order. The load it answers: a
 * worker leaves some orders unanswered, and each of their tasks stands still until the
 * agent asks the worker whether it has the run. A wait that is too short costs one such
 * question, so it follows the times that the worker usually takes.
 */

/** Bounds of the timeout, in milliseconds. */
const BOUNDS_MS = { min: 40, max: 100 } as const;

/** Weights of the latest time in the mean and in the mean deviation (RFC 6298). */
const WEIGHTS = { mean: 1 / 8, deviation: 1 / 4 } as const;

/** Number of mean deviations beyond the mean that few answers exceed (RFC 6298). */
const DEVIATIONS = 4;

/** Follows the response times of a worker. */
export class OrderTimeout {
  #meanMs = BOUNDS_MS.max / 2;
  #deviationMs = BOUNDS_MS.max / 4;
  /** Factor by which the timeout is longer after orders without answers. */
  #backoff = 1;

  /** Gets the timeout of the next order, in milliseconds. */
  get valueMs(): number {
    const timeoutMs = this.#meanMs + DEVIATIONS * this.#deviationMs;
    const limitedMs = Math.max(BOUNDS_MS.min, timeoutMs);
    return Math.round(Math.min(BOUNDS_MS.max, this.#backoff * limitedMs));
  }

  /** @param responseMs - Time from an order to its answer, in milliseconds. */
  recordAnswer(responseMs: number): void {
    this.#backoff = 1;
    const errorMs = responseMs - this.#meanMs;
    this.#deviationMs += WEIGHTS.deviation *
      (Math.abs(errorMs) - this.#deviationMs);
    this.#meanMs += WEIGHTS.mean * errorMs;
  }

  /** Records an order without an answer. */
  recordTimeout(): void {
    this.#backoff = 2;
  }
}
