import { expect } from "chai";
import {
  type ClusterShape,
  createLoadReport,
  getFairShares,
  getLatencyBreakdown,
  getMaxWorkBySecond,
  getMessageStats,
  getPercentiles,
  getWorkBySecond,
  type JobResult,
  type LoadScenario,
  type PlannedJob,
} from "../../src/load/mod.ts";

const shape: ClusterShape = {
  name: "test",
  entryZones: ["a"],
  agentZones: ["a", "b"],
  speeds: [1, 1],
  slots: 1,
  maxConnections: 1,
  clientLatencyMs: 0,
};

function createJob(options: Partial<PlannedJob> = {}): PlannedJob {
  return {
    key: "k",
    arrivalMs: 0,
    customer: "press",
    service: "stamp",
    repeatable: true,
    entry: 0,
    runMs: [1_000],
    timeoutMs: [10_000],
    ...options,
  };
}

function createResult(options: Partial<JobResult> = {}): JobResult {
  return {
    job: createJob(),
    lateMs: 0,
    answeredMs: 2_000,
    kind: "complete",
    taskKinds: [],
    ...options,
  };
}

describe("getMaxWorkBySecond", () => {
  it("limits the work to what has arrived and what the slots in service can do", () => {
    // Guards against a share of work that is measured against capacity that is
    // out of service.
    const jobs = [createJob({ runMs: [2_000, 2_000] })];
    const events = [
      { type: "zone", atMs: 1_000, zone: "a", state: "out" },
      { type: "zone", atMs: 2_000, zone: "a", state: "in" },
    ] as const;
    expect(getMaxWorkBySecond(jobs, { shape, events, seconds: 4 })).to.deep
      .equal(
        [2_000, 1_000, 1_000, 0],
      );
  });
});

describe("getWorkBySecond", () => {
  it("splits an execution by seconds and multiplies by the worker's speed", () => {
    // Guards against work that is counted in the second in which the task
    // ended, or in wall-clock time of a slow worker.
    const executions = [
      { key: "k", index: 0, worker: 1, startMs: 500, endMs: 2_250 },
      { key: "x", index: 0, worker: 0, startMs: 0, endMs: 1_000 },
    ];
    const work = getWorkBySecond(executions, {
      speeds: [1, 2],
      seconds: 3,
      isCounted: (execution) => execution.key === "k",
    });
    expect(work).to.deep.equal([1_000, 2_000, 500]);
  });
});

describe("getFairShares", () => {
  it("divides by weight the capacity that a customer doesn't need", () => {
    // Guards against reporting a policy as unfair to a customer that asked for
    // less than its share.
    const demands = new Map([
      ["press", { work: 40, weight: 3 }],
      ["archive", { work: 90, weight: 1 }],
    ]);
    expect([...getFairShares(demands, 100)]).to.deep.equal([
      ["press", 40],
      ["archive", 60],
    ]);
    demands.set("press", { work: 90, weight: 3 });
    expect([...getFairShares(demands, 100)]).to.deep.equal([
      ["press", 75],
      ["archive", 25],
    ]);
  });
});

describe("getMessageStats", () => {
  it("counts starts in excess of one per task, and leaves missing counters undefined", () => {
    // Guards against reporting that no messages were wasted when the processes
    // have no counters for them.
    const results = [createResult({ job: createJob({ runMs: [1, 1] }) })];
    const execution = { key: "k", index: 0, worker: 0, startMs: 0, endMs: 1 };
    const executions = [execution, { ...execution, startMs: 5 }, {
      ...execution,
      index: 1,
    }];
    const stats = getMessageStats({
      results,
      executions,
      counters: new Map(),
    });
    expect(stats.extraStartsPerTask).to.equal(0.5);
    expect(stats.wastedPerTask).to.equal(undefined);
  });
});

describe("getLatencyBreakdown", () => {
  it("breaks down the time of the task that ended last", () => {
    // Guards against attributing the time of a slow worker to the queue, or
    // that of a slow answer to the worker.
    const execution = {
      key: "k",
      index: 0,
      worker: 0,
      startMs: 100,
      endMs: 300,
    };
    const executions = [execution, {
      ...execution,
      worker: 1,
      startMs: 200,
      endMs: 600,
    }];
    const results = [createResult({ answeredMs: 650 })];
    const breakdown = getLatencyBreakdown(results, executions, {
      speeds: [2, 1],
    });
    expect([
      breakdown?.waitMs.max,
      breakdown?.slowMs.max,
      breakdown?.returnMs.max,
    ])
      .to.deep.equal([200, 200, 50]);
  });
});

describe("getPercentiles", () => {
  it("gets values to three significant digits", () => {
    // Guards against ratios that the histogram rounds to whole numbers.
    const values = Array.from({ length: 100 }, (_, i) => 1 + i / 100);
    const { count, p50, p99, max } = getPercentiles(values);
    expect({ count, p50, p99, max }).to.deep.equal(
      { count: 100, p50: 1.49, p99: 1.98, max: 1.99 },
    );
  });
});

describe("createLoadReport", () => {
  const scenario: LoadScenario = {
    name: "test",
    load: 1,
    durationMs: 4_000,
    events: [{ type: "behavior", atMs: 500, worker: 0, mode: "failing" }],
  };
  const base = {
    scenario,
    shape,
    seed: 1,
    placement: "default",
    startedAt: 0,
    loadAverage: [0, 0] as [number, number],
    counters: new Map(),
  };

  it("counts the work and the ratios of complete jobs only, and the work only within the window", () => {
    // Guards against goodput and response times that count failed or late
    // answers.
    const report = createLoadReport({
      ...base,
      results: [
        createResult(),
        createResult({ answeredMs: 4_500 }),
        createResult({
          answeredMs: 1_500,
          kind: "queue_full",
          outcome: "not run",
        }),
        createResult({ answeredMs: undefined, kind: "no_answer" }),
      ],
    });
    expect(report.goodput).to.be.closeTo(1_000 / (3_000 * 2), 1e-9);
    expect(report.response.overIdeal).to.include({ count: 2, max: 4.5 });
    expect(report.refusalMs).to.include({ count: 1, max: 1_500 });
    expect(report.answers).to.deep.equal(
      { complete: 2, queue_full: 1, no_answer: 1 },
    );
  });

  it("counts tasks lost to a failing worker after its first second", () => {
    // Guards against a share that includes the losses of the first second,
    // which would hide or inflate those after it.
    const lost = { kind: "upstream_failed", taskKinds: ["upstream_failed"] };
    const report = createLoadReport({
      ...base,
      results: [
        createResult({ ...lost, job: createJob({ arrivalMs: 1_400 }) }),
        createResult({ ...lost, job: createJob({ arrivalMs: 1_500 }) }),
        createResult({
          job: createJob({ arrivalMs: 1_600, runMs: [1, 1, 1] }),
        }),
      ],
    });
    expect(report.failingWorker).to.deep.equal(
      { lostTaskShare: 0.25, lostJobShare: 0.5, startShare: undefined },
    );
  });
});
