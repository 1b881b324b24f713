/**
 * What an agent knows of its worker that seldom changes. It is sent before the
 * first status of a stream and after a change, so that each status is short.
 */
export interface WorkerProfile {
  /** Empty if the agent knows no worker. */
  workerId: string;
  cpuMillis: number;
  memoryMb: number;
  gpus: number;
  labels: string[];
  zone: string;
  service: string;
  /** Rack of the worker; empty if it isn't known. */
  rack: string;
  /**
   * Rises when the agent has another incarnation of the worker, or when the worker
   * describes itself otherwise but for its capacity. Starts again with each process of
   * the agent; 0 from agents of earlier versions.
   */
  revision: number;
}
