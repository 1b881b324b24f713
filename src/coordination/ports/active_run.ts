/** A run that a worker lists as at work. */
export interface ActiveRun {
  readonly task: string;
  readonly run: number;
  /** Work done, 0 to 100. */
  readonly progressPercent: number;
  /** Rough use of processors over the last half second, in thousandths. */
  readonly usedCpuMillis: number | undefined;
}
