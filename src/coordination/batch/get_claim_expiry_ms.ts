import { BATCH_LIMITS } from "./batch_limits.ts";
import { getRunExpiryMs } from "./get_run_expiry_ms.ts";

/**
 * Gets the time after which no run of an entry can be executing that holds a
 * job at a home, in milliseconds, counted from its last frame there or from the
 * close of its stream.
 * @param stream - `closed`: the entry has ended, and its streams to all agents
 * were closed at the same time, so that only the lease of a run is left which its
 * agent doesn't renew, since it has seen the close or doesn't respond. An entry that lives has claimed its jobs at another
 * home by then. `silent`: agents may have heard it until its next ping was due.
 */
export function getClaimExpiryMs(stream: "closed" | "silent"): number {
  const { leaseMs, maxClockDriftFactor, maxStopDelayMs, pingIntervalMs } =
    BATCH_LIMITS;
  switch (stream) {
    case "closed":
      return leaseMs * maxClockDriftFactor + maxStopDelayMs;
    case "silent":
      return pingIntervalMs + getRunExpiryMs();
    default:
      return stream satisfies never;
  }
}
