/**
 * The time limits that the promises about zones, upstreams and settings rest
 * on. They are constants of the protocol, not settings: a process with a larger
 * view age limit than the others assume would break the fencing of removed
 * members.
 */
export const VIEW_LIMITS = {
  /** No task starts at an agent whose view may be older than this. */
  maxViewAgeMs: 5_000,
  /** A log read that takes longer than this counts as unreachable. */
  logReadTimeoutMs: 1_500,
  /**
   * A log read is given up after this; until then a late reply is still
   * applied.
   */
  logReadAbortMs: 10_000,
  /** An outage report is used for at most this long. */
  maxOutageReportAgeMs: 2_000,
  /** Interval of an entry's log reads, and the shortest one of an agent's. */
  readIntervalMs: 400,
  /** Log reads a second by all agents together, at most. */
  agentReadsPerSecond: 2_000,
  /**
   * Agents read the log themselves only when heartbeats leave their view older
   * than this.
   */
  agentReadAfterMs: 2_000,
  /** Interval of the heartbeats on every stream. */
  heartbeatIntervalMs: 500,
  /** A peer that is silent for this long is suspected. */
  suspectAfterMs: 3_000,
} as const;
