/**
 * Time limits that prevent two runs of a task from overlapping, in milliseconds
 * unless stated otherwise. `docs/platform.md` derives the inequality that they
 * must satisfy.
 */
export const BATCH_LIMITS = {
  /** Interval at which an entry checks whether its agents are heard. */
  linkCheckIntervalMs: 50,
  /** Interval of the pings from an entry to an agent. */
  pingIntervalMs: 200,
  /**
   * An entry considers an agent lost after this time without a frame from it:
   * three lost pings.
   */
  agentTimeoutMs: 700,
  /**
   * An agent stops the runs of an entry when the newest of its frames that the
   * entry has acknowledged is older than this: two ping intervals, since the
   * answer to one ping is acknowledged by the next one, and 500 ms of delay.
   */
  entryTimeoutMs: 900,
  /** Longest delay between two attempts of an entry to open a stream to an agent. */
  maxReopenDelayMs: 1_000,
  /** Longest lease of runs at a worker; the platform allows no longer one. */
  leaseMs: 1_000,
  /** Factor by which the clock that measures leases may be slow. */
  maxClockDriftFactor: 1.02,
  /** Age of a job at which agents tell all entries that they have runs of it. */
  openJobAgeMs: 1_000,
  /** Age of a job at which its entry claims it at another home. */
  publishAgeMs: 900,
  /** Age of a job from which on its tasks are placed only with the grants of all agents. */
  claimAgeMs: 1_100,
  /** Interval at which a home checks whether the holders of jobs are heard. */
  claimCheckIntervalMs: 50,
  /** Longest time for delivering a stop order and stopping at the worker. */
  maxStopDelayMs: 100,
} as const;
