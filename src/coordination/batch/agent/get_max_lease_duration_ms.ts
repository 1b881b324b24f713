import { BATCH_LIMITS } from "../batch_limits.ts";

/**
 * Gets the longest time that a lease can last after its order was sent, in
 * milliseconds.
 */
export function getMaxLeaseDurationMs(): number {
  const {
    leaseMs,
    maxClockDriftFactor,
    maxStopDelayMs,
  } = BATCH_LIMITS;
  return leaseMs * maxClockDriftFactor + maxStopDelayMs;
}
