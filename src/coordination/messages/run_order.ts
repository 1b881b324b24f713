/** One task to run, with what it needs. */
export interface RunOrder {
  task: string;
  run: number;
  /** Thousandths of a core. */
  cpuMillis: number;
  memoryMb: number;
  gpus: number;
  /** Estimated run time on a worker of average speed, in milliseconds. */
  expectedMs: number;
}
