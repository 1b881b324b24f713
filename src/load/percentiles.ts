/** The usual percentiles of some values. */
export interface Percentiles {
  readonly count: number;
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly max: number;
}
