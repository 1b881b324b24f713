/** A run that a worker reports as running. */
export interface ActiveRun {
  readonly task: string;
  readonly run: number;
  /** Completed part of the work in percent, 0 to 100. */
  readonly progressPercent: number;
  /** Approximate CPU usage over the last 500 ms, in thousandths of a core. */
  readonly usedCpuMillis: number | undefined;
}
