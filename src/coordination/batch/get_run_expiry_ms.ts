import { BATCH_LIMITS } from "./batch_limits.ts";

/**
 * Gets the time after the last sign of life of an agent in which all runs that
 * an entry ordered there have certainly ended, in milliseconds: the agent stops
 * them once it lacks proof of the entry, and if the agent fails at that moment,
 * their lease expires.
 */
export function getRunExpiryMs(): number {
  const {
    entryTimeoutMs: silentEntryMs,
    leaseMs,
    maxClockDriftFactor: slowClockFactor,
    maxStopDelayMs: stopMs,
  } = BATCH_LIMITS;
  return silentEntryMs + leaseMs * slowClockFactor + stopMs;
}
