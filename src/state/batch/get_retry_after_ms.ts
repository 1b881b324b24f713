/** Shortest time after which a retry is advised, in milliseconds. */
const MIN_MS = 1_000;

/** Range over which the retries of clients are spread, in milliseconds. */
const SPREAD_MS = 2_000;

/**
 * Gets the time after which a refused client should retry, in milliseconds: when
 * the requests that wait now have been handled, spread so that the clients that
 * are refused together don't return together.
 * @param waitMs - Expected time until the waiting requests are handled.
 * @param getRandom - Returns a number from 0 up to 1.
 */
export function getRetryAfterMs(
  waitMs: number,
  getRandom: () => number = Math.random,
): number {
  return Math.max(MIN_MS, waitMs) + getRandom() * SPREAD_MS;
}
