import { expect } from "chai";
import { decideAdmission, placeTasks } from "../../../src/state/batch/mod.ts";
import { createBatchStep } from "../../lib/create_batch_step.ts";
import { createWorkerLoad } from "../../lib/create_worker_load.ts";

const NO_FREE_CPU = { cpuMillis: 500, memoryMb: 65_536, gpus: 0 };

describe("placeTasks", () => {
  it("prefers a free slow worker to a fast one with a queue", () => {
    const fast = createWorkerLoad({
      agentId: "fast",
      slowdown: 0.6,
      free: NO_FREE_CPU,
      runningLeftMs: [120, 240, 240, 60, 90, 100, 180, 60],
      queuedRuns: [0, 3, 0, 0],
      queuedMs: [0, 300, 0, 0],
    });
    const slow = createWorkerLoad({ agentId: "slow", slowdown: 1.5 });
    const [placed] = placeTasks({
      step: createBatchStep(),
      indexes: [0],
      priority: 1,
      loads: [fast, slow],
    });
    expect(placed?.agentId).to.equal("slow");
  });

  it("prefers the faster one of two free workers", () => {
    const loads = [
      createWorkerLoad({ agentId: "slow", slowdown: 1.5 }),
      createWorkerLoad({ agentId: "fast", slowdown: 0.6 }),
    ];
    const options = { step: createBatchStep(), indexes: [0], priority: 1 };
    const [placed] = placeTasks({ ...options, loads });
    expect(placed).to.include({ agentId: "fast", endMs: 60 });
  });

  it("spreads a job over workers when the first one is full", () => {
    const loads = ["a", "b"].map((agentId) => createWorkerLoad({ agentId }));
    const indexes = Array.from({ length: 16 }, (_, index) => index);
    const placed = placeTasks({
      step: createBatchStep({ count: 16 }),
      indexes,
      priority: 1,
      loads,
    });
    expect(placed.filter(({ agentId }) => agentId === "a")).to.have.length(8);
    expect(Math.max(...placed.map(({ endMs }) => endMs))).to.equal(100);
  });

  it("counts only queued runs of the same or a more urgent priority", () => {
    const full = {
      free: NO_FREE_CPU,
      runningLeftMs: [100],
      queuedRuns: [0, 0, 5, 0],
      queuedMs: [0, 0, 5_000, 0],
    };
    const loads = [createWorkerLoad(full)];
    const options = { step: createBatchStep(), indexes: [0], loads };
    const [urgent] = placeTasks({ ...options, priority: 0 });
    const [lessUrgent] = placeTasks({ ...options, priority: 2 });
    expect(urgent?.endMs).to.equal(200);
    expect(lessUrgent?.endMs).to.be.greaterThan(5_000);
  });

  it("respects labels, the limit per worker and agents to avoid", () => {
    const loads = [
      createWorkerLoad({ agentId: "a", labels: ["gpu"] }),
      createWorkerLoad({ agentId: "b", labels: ["gpu"] }),
      createWorkerLoad({ agentId: "c", labels: [] }),
    ];
    const placed = placeTasks({
      step: createBatchStep({ requiredLabel: "gpu", maxPerWorker: 1 }),
      indexes: [0, 1, 2],
      priority: 0,
      loads,
      avoidedAgents: new Map([[0, new Set(["a"])]]),
    });
    expect(placed.map(({ agentId }) => agentId)).to.deep.equal(["b", "a"]);
  });

  it("prefers a slower worker to one that fails its runs", () => {
    const loads = [
      createWorkerLoad({ agentId: "failing", failureShare: 0.8 }),
      createWorkerLoad({ agentId: "sound", slowdown: 1.5 }),
    ];
    const options = { step: createBatchStep(), indexes: [0], priority: 0 };
    const [placed] = placeTasks({ ...options, loads });
    expect(placed?.agentId).to.equal("sound");
  });
});

describe("decideAdmission", () => {
  const placed = { index: 0, agentId: "a", endMs: 800 };

  it("refuses a job that can't end in time, with a retry time", () => {
    const decision = decideAdmission({
      taskCount: 1,
      placements: [placed],
      hasWorkers: true,
      timeLeftMs: 500,
    });
    expect(decision).to.deep.equal({
      kind: "refused",
      error: "deadline_unreachable",
      retryAfterMs: 1_000,
    });
  });

  it("distinguishes a job that fits no worker from a lack of workers", () => {
    const options = { taskCount: 1, placements: [], timeLeftMs: 500 };
    expect(decideAdmission({ ...options, hasWorkers: true }))
      .to.include({ error: "unplaceable" });
    expect(decideAdmission({ ...options, hasWorkers: false }))
      .to.include({ error: "no_capacity" });
  });

  it("admits a job that ends in time", () => {
    const decision = decideAdmission({
      taskCount: 1,
      placements: [placed],
      hasWorkers: true,
      timeLeftMs: 900,
    });
    expect(decision).to.deep.equal({ kind: "admitted", endMs: 800 });
  });
});
