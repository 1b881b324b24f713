import { expect } from "chai";
import { isStatusKnown } from "../../../../src/coordination/batch/agent/is_status_known.ts";
import type { WorkerStatus } from "../../../../src/coordination/messages/mod.ts";

const IDLE: WorkerStatus = {
  ...{ acceptsWork: true, isSettled: true, entries: 2, receivedBatch: 7 },
  ...{ freeCpuMillis: 4_000, freeMemoryMb: 512, freeGpus: 1, slowdown: 1 },
  ...{ runningLeftMs: [], queuedRuns: [0, 1], queuedMs: [0, 80] },
  ...{ failureShare: 0, suspectRuns: 0 },
};

const BUSY: WorkerStatus = { ...IDLE, runningLeftMs: [40, 90] };

describe("isStatusKnown", () => {
  it("leaves out a status that repeats the one after the end of a run", () => {
    const later = { ...BUSY, runningLeftMs: [38, 88] };
    const sent = { value: BUSY, ageMs: 2, silenceMs: 2 };
    expect(isStatusKnown(later, sent)).to.equal(true);
  });

  it("never leaves out a status with another load", () => {
    // Guards against placements by a load that no longer exists.
    const changes: Partial<WorkerStatus>[] = [
      ...[{ acceptsWork: false }, { isSettled: false }, { entries: 1 }],
      ...[{ receivedBatch: 8 }, { freeCpuMillis: 1 }, { freeMemoryMb: 1 }],
      ...[{ freeGpus: 0 }, { slowdown: 1.1 }, { runningLeftMs: [40] }],
      ...[{ queuedRuns: [1, 1] }, { queuedMs: [0, 81] }, { failureShare: 0.1 }],
      { suspectRuns: 1 },
    ];
    expect(changes.map((change) => Object.keys(change)[0]).sort())
      .to.deep.equal(Object.keys(IDLE).sort());
    for (const change of changes) {
      const sent = { value: BUSY, ageMs: 0, silenceMs: 0 };
      expect(isStatusKnown({ ...BUSY, ...change }, sent)).to.equal(false);
    }
  });

  it("tells the remaining times of running tasks as often as before", () => {
    // Guards against placements behind tasks that have ended by now.
    const sent = { value: BUSY, ageMs: 25, silenceMs: 0 };
    expect(isStatusKnown(BUSY, sent)).to.equal(false);
  });

  it("leaves out the status of an idle worker only while other frames are sent", () => {
    // Guards against an agent that its entries take for lost.
    expect(isStatusKnown(IDLE, { value: IDLE, ageMs: 900, silenceMs: 90 }))
      .to.equal(true);
    expect(isStatusKnown(IDLE, { value: IDLE, ageMs: 900, silenceMs: 100 }))
      .to.equal(false);
  });
});
