/** A seed that has failed, with what it found. */
export interface FailedSeed {
  readonly seed: number;
  readonly lengthMs: number;
  readonly entries: number;
  readonly agents: number;
  readonly cause: string;
}

/** Seeds of the soak that have ever failed; each is played again in the tests. */
export const FAILED_SEEDS: readonly FailedSeed[] = [];
