import { BATCH_LIMITS } from "./batch_limits.ts";

/**
 * Gets the time after which all runs that an entry ordered at an agent have
 * certainly ended, counted from the last frame of the agent, in milliseconds:
 * the agent stops them when the entry no longer acknowledges its frames. If it
 * fails at that moment, or the stops take longer, their lease expires, which it
 * doesn't renew any more.
 */
export function getRunExpiryMs(): number {
  const {
    entryTimeoutMs,
    leaseMs,
    maxClockDriftFactor,
    maxStopDelayMs,
  } = BATCH_LIMITS;
  return entryTimeoutMs + leaseMs * maxClockDriftFactor + maxStopDelayMs;
}
