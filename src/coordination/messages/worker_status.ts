/** What an agent says about its worker and the work there. */
export interface WorkerStatus {
  /** Empty while no worker is known. */
  workerId: string;
  acceptsWork: boolean;
  /** No run of an earlier stream can still be at work at this worker. */
  isSettled: boolean;
  cpuMillis: number;
  memoryMb: number;
  gpus: number;
  labels: string[];
  zone: string;
  service: string;
  freeCpuMillis: number;
  freeMemoryMb: number;
  freeGpus: number;
  /** Entries with a stream to the agent. */
  entries: number;
  /** Actual run time over expected run time. */
  slowdown: number;
  /** Expected remaining time of each running task, in milliseconds. */
  runningLeftMs: number[];
  /** Runs that wait at the agent, by priority. */
  queuedRuns: number[];
  /**
   * Expected run time of all of these together on this worker, in milliseconds,
   * by priority.
   */
  queuedMs: number[];
  /** The latest `startRuns` frame of this stream that the figures include. */
  receivedBatch: number;
  /** Share of the latest runs that failed, 0 to 1. */
  failureShare: number;
}
