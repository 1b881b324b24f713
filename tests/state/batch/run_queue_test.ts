import { expect } from "chai";
import { type QueuedRun, RunQueue } from "../../../src/state/batch/mod.ts";

function createRun(changes: Partial<QueuedRun> = {}): QueuedRun {
  return {
    task: "t",
    resources: { cpuMillis: 2_000, memoryMb: 64, gpus: 0 },
    priority: 1,
    expectedMs: 100,
    arrivedAt: 0,
    deadlineAt: 1_000,
    latencyTargetAt: 1_000,
    ...changes,
  };
}

const PACE = { now: 0, slowdown: 1 };
const ROOM = { cpuMillis: 16_000, memoryMb: 1_000, gpus: 0 };

describe("RunQueue", () => {
  it("takes urgent runs first and equal ones in their order", () => {
    const queue = new RunQueue<QueuedRun>();
    queue.add(createRun({ task: "a", priority: 2 }));
    queue.add(createRun({ task: "b", priority: 0 }));
    queue.add(createRun({ task: "c", priority: 0 }));
    const order = [1, 2, 3].map(() => queue.takeNext(ROOM, PACE)?.task);
    expect(order).to.deep.equal(["b", "c", "a"]);
  });

  it("passes runs that miss their latency target, of one priority", () => {
    const queue = new RunQueue<QueuedRun>();
    queue.add(createRun({ task: "late", latencyTargetAt: 50 }));
    queue.add(createRun({ task: "in time", latencyTargetAt: 150 }));
    queue.add(createRun({ task: "less urgent", priority: 2 }));
    const order = [1, 2, 3].map(() => queue.takeNext(ROOM, PACE)?.task);
    expect(order).to.deep.equal(["in time", "late", "less urgent"]);
  });

  it("leaves a run without room and takes the next one that fits", () => {
    const queue = new RunQueue<QueuedRun>();
    const large = { cpuMillis: 20_000, memoryMb: 64, gpus: 0 };
    queue.add(createRun({ task: "large", resources: large, priority: 0 }));
    queue.add(createRun({ task: "small" }));
    expect(queue.takeNext(ROOM, PACE)?.task).to.equal("small");
    expect(queue.takeNext(ROOM, PACE)).to.equal(undefined);
    expect(queue.size).to.equal(1);
  });

  it("takes out what can't end in time at the worker's speed", () => {
    const queue = new RunQueue<QueuedRun>();
    queue.add(createRun({ task: "late", deadlineAt: 150 }));
    queue.add(createRun({ task: "ok", deadlineAt: 500 }));
    expect(queue.takeExpired(PACE)).to.have.length(0);
    expect(queue.takeExpired({ now: 0, slowdown: 2 }).map(({ task }) => task))
      .to.deep.equal(["late"]);
  });

  it("counts the waiting work by priority", () => {
    const queue = new RunQueue<QueuedRun>();
    queue.add(createRun({ priority: 0, expectedMs: 50 }));
    queue.add(createRun({ priority: 2, expectedMs: 900 }));
    queue.add(createRun({ priority: 2, expectedMs: 100 }));
    expect(queue.getBacklog()).to.deep.equal({
      runs: [1, 0, 2, 0],
      expectedMs: [50, 0, 1_000, 0],
    });
  });
});
