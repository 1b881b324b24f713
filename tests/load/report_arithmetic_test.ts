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

describe("getAllowedWork", () => {
  it("allows no more than has arrived and the slots in service can do", () => {
    // Guards against a share of work that is measured against capacity that
    // isn't there.
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
  it("divides a run among the seconds and multiplies by the worker's speed", () => {
    // Guards against work that is counted where the task ended, or in
    // wall-clock time of a slow worker.
    const runs = [
      { key: "k", index: 0, worker: 1, startMs: 500, endMs: 2_250 },
      { key: "x", index: 0, worker: 0, startMs: 0, endMs: 1_000 },
    ];
    const work = getWorkBySecond(runs, {
      speeds: [1, 2],
      seconds: 3,
      isCounted: (run) => run.key === "k",
    });
    expect(work).to.deep.equal([1_000, 2_000, 500]);
  });
});

describe("getFairShares", () => {
  it("divides by weight what a satisfied customer leaves", () => {
    // Guards against blaming a policy for a customer that asked for less than
    // its share.
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

describe("getMessageFigures", () => {
  it("counts starts beyond one for a task, and leaves open what isn't counted", () => {
    // Guards against a process without counters that is reported as one without
    // waste.
    const results = [createResult({ job: createJob({ runMs: [1, 1] }) })];
    const run = { key: "k", index: 0, worker: 0, startMs: 0, endMs: 1 };
    const runs = [run, { ...run, startMs: 5 }, { ...run, index: 1 }];
    const figures = getMessageStats({ results, runs, counters: new Map() });
    expect(figures.extraStartsPerTask).to.equal(0.5);
    expect(figures.wastedPerTask).to.equal(undefined);
  });
});

describe("getDelayParts", () => {
  it("divides the time of the task that ended last", () => {
    // Guards against blaming the queue for a slow worker, or the worker for a
    // slow answer.
    const run = { key: "k", index: 0, worker: 0, startMs: 100, endMs: 300 };
    const runs = [run, { ...run, worker: 1, startMs: 200, endMs: 600 }];
    const results = [createResult({ answeredMs: 650 })];
    const parts = getLatencyBreakdown(results, runs, { speeds: [2, 1] });
    expect([parts?.waitMs.max, parts?.slowMs.max, parts?.returnMs.max])
      .to.deep.equal([200, 200, 50]);
  });
});

describe("getPercentiles", () => {
  it("gets values to three digits", () => {
    // Guards against ratios that are rounded to whole numbers by the histogram.
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

  it("counts complete work in the window, and ratios of complete jobs only", () => {
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
    // Guards against losses of the first second that hide or inflate those
    // after it.
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
