import type { BatchStep } from "../../src/state/batch/mod.ts";

/**
 * Creates a step of one task that needs 2 cores and about 100 ms, with the
 * given changes.
 */
export function createBatchStep(changes: Partial<BatchStep> = {}): BatchStep {
  return {
    count: 1,
    resources: { cpuMillis: 2_000, memoryMb: 64, gpus: 0 },
    expectedMs: 100,
    dependsOn: [],
    requiredLabel: undefined,
    preferredRack: undefined,
    sharesRack: false,
    maxPerWorker: Infinity,
    ...changes,
  };
}
