/**
 * Time limits that keep two runs of a task apart, in milliseconds unless stated
 * otherwise. `docs/platform.md` derives their inequality.
 */
export const BATCH_LIMITS = {
  /** Interval of pings from an entry to an agent. */
  pingIntervalMs: 200,
  /** An entry gives up an agent after this silence: three lost pings. */
  agentTimeoutMs: 700,
  /**
   * An agent stops the runs of an entry after this time without fresh proof
   * that the entry hears it: a ping, its answer and half a second of delay.
   */
  entryTimeoutMs: 900,
  /** Longest lease of runs at a worker; the platform's own maximum. */
  leaseMs: 1_000,
  /** The clock that measures leases may be this much slow (a factor). */
  maxClockDriftFactor: 1.02,
  /** Time that a stop takes at a worker at most, and the delivery of its order. */
  maxStopDelayMs: 100,
} as const;
