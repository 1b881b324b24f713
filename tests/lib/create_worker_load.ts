import type { WorkerLoad } from "../../src/state/batch/mod.ts";

/** Creates the load of an idle worker with 16 cores, with the given changes. */
export function createWorkerLoad(
  changes: Partial<WorkerLoad> = {},
): WorkerLoad {
  return {
    agentId: "agent-1",
    zone: "a",
    labels: ["r1"],
    rack: "r1",
    capacity: { cpuMillis: 16_000, memoryMb: 65_536, gpus: 0 },
    free: { cpuMillis: 16_000, memoryMb: 65_536, gpus: 0 },
    ownSlotShare: 1,
    slotRoundingOffset: 0,
    slowdown: 1,
    runningLeftMs: [],
    queuedRuns: [0, 0, 0, 0],
    queuedMs: [0, 0, 0, 0],
    failureShare: 0,
    suspectRuns: 0,
    reportedAt: 0,
    ...changes,
  };
}
