import type { FailedSeed } from "./failed_seed.ts";

/** Seeds of the soak test that have failed; the tests run each again. */
export const FAILED_SEEDS: readonly FailedSeed[] = [];
