import type { FailedSeed } from "./failed_seed.ts";

/** Seeds of the soak that have ever failed; each is played again in the tests. */
export const FAILED_SEEDS: readonly FailedSeed[] = [];
