/** A seed that has failed, with what it found. */
export interface FailedSeed {
  readonly seed: number;
  readonly lengthMs: number;
  readonly entries: number;
  readonly agents: number;
  readonly cause: string;
}
