/** A seed that has failed, with the options of its run and the cause. */
export interface FailedSeed {
  readonly seed: number;
  readonly lengthMs: number;
  readonly entries: number;
  readonly agents: number;
  readonly cause: string;
}
