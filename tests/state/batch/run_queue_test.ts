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

const TAKE_OPTIONS = { now: 0, slowdown: 1 };
const FREE_RESOURCES = { cpuMillis: 16_000, memoryMb: 1_000, gpus: 0 };

describe("RunQueue", () => {
  it("takes urgent runs first, and runs of one priority in order", () => {
    const queue = new RunQueue<QueuedRun>();
    queue.add(createRun({ task: "a", priority: 2 }));
    queue.add(createRun({ task: "b", priority: 0 }));
    queue.add(createRun({ task: "c", priority: 0 }));
    const order = [1, 2, 3].map(() =>
      queue.takeNext(FREE_RESOURCES, TAKE_OPTIONS)?.task
    );
    expect(order).to.deep.equal(["b", "c", "a"]);
  });

  it("takes out a run that is late when it is checked, and checks it once", () => {
    const queue = new RunQueue<QueuedRun>();
    for (const task of ["a", "b"]) {
      queue.add(createRun({ task, recheckAt: 50 }));
    }
    queue.add(createRun({ task: "c" }));
    expect(queue.takeOverdue(49, () => true)).to.have.length(0);
    const taken = queue.takeOverdue(50, ({ task }) => task === "b");
    expect(taken.map(({ task }) => task)).to.deep.equal(["b"]);
    expect(queue.takeOverdue(60, () => true)).to.have.length(0);
    expect(queue.size).to.equal(2);
  });

  it("takes runs that miss their latency target last in their priority", () => {
    const queue = new RunQueue<QueuedRun>();
    queue.add(createRun({ task: "late", latencyTargetAt: 50 }));
    queue.add(createRun({ task: "in time", latencyTargetAt: 150 }));
    queue.add(createRun({ task: "less urgent", priority: 2 }));
    const order = [1, 2, 3].map(() =>
      queue.takeNext(FREE_RESOURCES, TAKE_OPTIONS)?.task
    );
    expect(order).to.deep.equal(["in time", "late", "less urgent"]);
  });

  it("skips a run that does not fit and takes the next one that does", () => {
    const queue = new RunQueue<QueuedRun>();
    const large = { cpuMillis: 20_000, memoryMb: 64, gpus: 0 };
    queue.add(createRun({ task: "large", resources: large, priority: 0 }));
    queue.add(createRun({ task: "small" }));
    expect(queue.takeNext(FREE_RESOURCES, TAKE_OPTIONS)?.task).to.equal(
      "small",
    );
    expect(queue.takeNext(FREE_RESOURCES, TAKE_OPTIONS)).to.equal(undefined);
    expect(queue.size).to.equal(1);
  });

  it("takes out runs that can't end in time at the worker's speed", () => {
    const queue = new RunQueue<QueuedRun>();
    queue.add(createRun({ task: "late", deadlineAt: 150 }));
    queue.add(createRun({ task: "ok", deadlineAt: 500 }));
    expect(queue.takeExpired(TAKE_OPTIONS)).to.have.length(0);
    expect(queue.takeExpired({ now: 0, slowdown: 2 }).map(({ task }) => task))
      .to.deep.equal(["late"]);
  });

  it("gets the backlog by priority", () => {
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
