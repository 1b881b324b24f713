/**
 * Limits on which the guarantees about zones, upstreams and settings depend.
 * They are protocol constants, not settings: a process with a larger limit of
 * the view age than the others assume might still start tasks after its
 * removal, when the others rely on it having stopped.
 */
export const VIEW_LIMITS = {
  /**
   * Age of an agent's view from which on no task starts there, unless most
   * zones report a log outage.
   */
  maxViewAgeMs: 5_000,
  /** Duration of a log read beyond which the log counts as unreachable. */
  logReadTimeoutMs: 1_500,
  /**
   * Time without any part of an answer after which a log read is aborted. Until then,
   * a late reply is still applied.
   */
  logReadAbortMs: 10_000,
  /** Time after which an outage report expires. */
  maxOutageReportAgeMs: 2_000,
  /** Interval between an entry's log reads, and the minimum for an agent. */
  readIntervalMs: 400,
  /** Maximum number of log reads per second by all agents together. */
  agentReadsPerSecond: 2_000,
  /**
   * View age from which on an agent reads the log itself, because heartbeats
   * don't keep its view recent.
   */
  agentReadAfterMs: 2_000,
  /** Interval between heartbeats in each direction of a stream. */
  heartbeatIntervalMs: 500,
  /** Time without a heartbeat after which a peer is suspected. */
  suspectAfterMs: 3_000,
} as const;
