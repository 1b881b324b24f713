/** State of an agent's worker and of its runs. */
export interface WorkerStatus {
  acceptsWork: boolean;
  /**
   * Whether no run that the receiving entry ordered on an earlier stream can
   * still be executing. False while the agent does not know.
   */
  isSettled: boolean;
  freeCpuMillis: number;
  freeMemoryMb: number;
  freeGpus: number;
  /** Number of entries with a stream to the agent. */
  entries: number;
  /** Ratio of actual to expected run time. */
  slowdown: number;
  /** Expected remaining time of each running task, in milliseconds. */
  runningLeftMs: number[];
  /** Number of runs queued at the agent, by priority. */
  queuedRuns: number[];
  /**
   * Expected total run time of the queued runs on this worker, in milliseconds,
   * by priority.
   */
  queuedMs: number[];
  /**
   * Sequence number (`batch`) of the latest `startRuns` frame that this status
   * includes.
   */
  receivedBatch: number;
  /** Fraction of the latest runs that failed, 0 to 1. */
  failureShare: number;
  /**
   * Number of runs of tasks under which a worker crashed that have not passed
   * that point of their work.
   */
  suspectRuns: number;
}
