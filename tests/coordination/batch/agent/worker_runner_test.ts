import { setTimeout as wait } from "node:timers/promises";
import { expect } from "chai";
import {
  type LocalRun,
  type RunOwner,
  type WorkerDescription,
  WorkerRunner,
} from "../../../../src/coordination/batch/agent/mod.ts";
import type { RunEnd } from "../../../../src/coordination/messages/mod.ts";
import type { CrashedRun } from "../../../../src/state/batch/mod.ts";
import { Metrics } from "../../../../src/state/metrics/mod.ts";
import { FakeWorker } from "../../../lib/fake_worker.ts";
import { RecordedLog } from "../../../lib/recorded_log.ts";
import { waitUntil } from "../../../lib/wait_until.ts";

class TestOwner implements RunOwner {
  readonly name: string;
  readonly ends: RunEnd[] = [];
  isAcknowledging = true;

  constructor(name = "entry-1") {
    this.name = name;
  }

  isResponsive(): boolean {
    return this.isAcknowledging;
  }

  readonly cancelledJobs: string[] = [];

  sendCancel(jobId: string): void {
    this.cancelledJobs.push(jobId);
  }

  handleEnd(end: RunEnd): void {
    this.ends.push(end);
  }

  getOutcomes(): string[] {
    return this.ends.map(({ outcome }) => outcome);
  }
}

function createDescription(
  changes: Partial<WorkerDescription> = {},
): WorkerDescription {
  return {
    workerId: "w-1",
    bornAtMs: 1_000,
    sequence: 1,
    service: "s",
    zone: "a",
    isDraining: false,
    remainingMs: undefined,
    capacity: { cpuMillis: 4_000, memoryMb: 1_000, gpus: 0 },
    labels: [],
    rack: "",
    ...changes,
  };
}

function createRun(owner: RunOwner, changes: Partial<LocalRun> = {}): LocalRun {
  const now = performance.now();
  return {
    task: "0000000000000001.0.0.0",
    run: 1,
    jobId: "0000000000000001",
    jobArrivedAt: now,
    route: "r",
    crashes: 0,
    crashedAfterMs: 0,
    canBeDeclined: false,
    spec: "x",
    owner,
    resources: { cpuMillis: 2_000, memoryMb: 64, gpus: 0 },
    priority: 0,
    expectedMs: 10,
    arrivedAt: now,
    deadlineAt: now + 5_000,
    latencyTargetAt: now + 5_000,
    state: "queued",
    isStopRequested: false,
    minReportFence: 0,
    startedAt: 0,
    stopSentAt: 0,
    missedReports: 0,
    ...changes,
  };
}

describe("WorkerRunner", () => {
  let worker: FakeWorker;
  let log: RecordedLog;
  let runner: WorkerRunner;
  let owner: TestOwner;
  let isInService: boolean;
  let crashes: (readonly CrashedRun[])[];

  beforeEach(() => {
    worker = new FakeWorker();
    log = new RecordedLog();
    owner = new TestOwner();
    isInService = true;
    crashes = [];
    runner = new WorkerRunner({
      control: worker,
      incarnation: "i",
      log,
      metrics: new Metrics(),
      isInService: () => isInService,
      onChange: () => {},
      onCrash: (_id, runs) => crashes.push(runs),
    });
  });

  afterEach(() => runner.stop());

  async function startWorker(): Promise<void> {
    runner.handleWorkerReport(createDescription());
    await waitUntil(() => runner.acceptsWork, "the runner accepts work");
  }

  async function startRun(run: LocalRun): Promise<void> {
    runner.add(run);
    runner.processQueue();
    await waitUntil(() => worker.running.has(run.task), "the run has started");
  }

  it("runs a task and confirms its end to the worker", async () => {
    await startWorker();
    const run = createRun(owner);
    await startRun(run);
    worker.endRun(run.task, "done");
    await waitUntil(() => owner.ends.length === 1, "the end is reported");
    expect(owner.ends[0]).to.include({ outcome: "done", run: 1 });
    await waitUntil(() => worker.confirmedUpTo === 1, "the end is confirmed");
  });

  it("declines a run that would miss its latency target, though other workers may have room", async () => {
    await startWorker();
    for (const task of ["a", "b"]) {
      await startRun(createRun(owner, { task, expectedMs: 1_000 }));
    }
    const latencyTargetAt = performance.now() + 300;
    const options = { expectedMs: 100, latencyTargetAt };
    const urgent = { ...options, task: "c", canBeDeclined: true };
    runner.add(createRun(owner, urgent));
    expect(owner.getOutcomes()).to.deep.equal(["declined"]);
    runner.add(createRun(owner, { ...options, task: "d" }));
    expect(runner.runCount).to.equal(3);
  });

  it("hands a run back at its check when the runs before it take longer", async () => {
    await startWorker();
    for (const task of ["a", "b"]) {
      await startRun(createRun(owner, { task, expectedMs: 400 }));
    }
    const now = performance.now();
    const options = {
      priority: 1,
      expectedMs: 100,
      latencyTargetAt: now + 600,
    };
    const checked = { ...options, task: "c", canBeDeclined: true };
    runner.add(createRun(owner, { ...checked, recheckAt: now + 50 }));
    runner.add(createRun(owner, { ...options, task: "d" }));
    // A more urgent run comes first from here on.
    const earlier = { task: "e", priority: 0, expectedMs: 400 };
    runner.add(createRun(owner, { ...options, ...earlier }));
    runner.add(createRun(owner, { ...options, ...earlier, task: "f" }));
    await waitUntil(() => owner.ends.length > 0, "the run is handed back");
    expect(owner.ends.map(({ task, outcome }) => `${task} ${outcome}`))
      .to.deep.equal(["c declined"]);
  });

  describe("with runs that name the revision of the worker", () => {
    let workerRevision: number;

    /** Adds three runs, of which the worker has room for two. */
    beforeEach(async () => {
      await startWorker();
      ({ workerRevision } = runner);
      for (const task of ["a", "b", "c"]) {
        runner.add(createRun(owner, { task, workerRevision }));
      }
      runner.processQueue();
      await waitUntil(() => worker.starts.length === 2, "two have started");
    });

    it("returns queued ones when the worker no longer is what they were placed by", () => {
      // Guards against starts on a worker that has lost the label of the step.
      const labels = ["other-kind"];
      runner.handleWorkerReport(createDescription({ sequence: 2, labels }));
      expect(owner.ends.map(({ task, outcome }) => `${task} ${outcome}`))
        .to.deep.equal(["c returned"]);
      expect(runner.workerRevision).to.be.greaterThan(workerRevision);
    });

    it("keeps queued ones when only the capacity of the worker changes", () => {
      const capacity = { cpuMillis: 3_000, memoryMb: 1_000, gpus: 0 };
      runner.handleWorkerReport(createDescription({ sequence: 2, capacity }));
      expect(owner.ends).to.have.length(0);
      expect(runner.workerRevision).to.equal(workerRevision);
    });
  });

  it("does not repeat a start that the worker missed once it is no longer what it was placed by", async () => {
    // Guards against starts on a worker that has lost the label of the step.
    await startWorker();
    const { workerRevision } = runner;
    worker.startFaults.push("carried_out_late");
    worker.lateStartDelayMs = 5_000;
    runner.add(createRun(owner, { workerRevision }));
    runner.processQueue();
    const labels = ["other-kind"];
    runner.handleWorkerReport(createDescription({ sequence: 2, labels }));
    await waitUntil(() => owner.ends.length > 0, "the run has ended");
    expect(owner.getOutcomes()).to.deep.equal(["returned"]);
    expect(worker.starts).to.have.length(0);
  });

  it("logs that it distrusts a worker whose latest jobs took far longer", async () => {
    await startWorker();
    for (const jobId of ["a", "b", "c"]) {
      const run = createRun(owner, {
        task: `${jobId}.0.0.0`,
        jobId,
        expectedMs: 1,
      });
      await startRun(run);
      await wait(30);
      worker.endRun(run.task, "done");
      await waitUntil(() => runner.runCount === 0, "the run has ended");
    }
    expect(log.count("worker_distrusted")).to.equal(1);
  });

  it("starts no more runs than the worker has room for", async () => {
    await startWorker();
    const tasks = ["a", "b", "c"];
    for (const task of tasks) {
      runner.add(createRun(owner, { task }));
    }
    runner.processQueue();
    await waitUntil(() => worker.starts.length === 2, "two runs have started");
    await wait(50);
    expect(worker.starts).to.have.length(2);
    worker.endRun("a", "done");
    await waitUntil(() => worker.starts.length === 3, "the third has started");
  });

  it("keeps a run whose start reply was lost, and starts it once", async () => {
    await startWorker();
    worker.startFaults.push("answer_lost");
    const run = createRun(owner);
    await startRun(run);
    await waitUntil(
      () => log.count("run_started") === 1,
      "a report lists the run",
    );
    worker.endRun(run.task, "done");
    await waitUntil(() => owner.ends.length === 1, "the end is reported");
    expect(owner.getOutcomes()).to.deep.equal(["done"]);
    expect(worker.starts).to.have.length(1);
  });

  it("starts a run again whose start arrives late, and never twice", async () => {
    // Guards against the way to another worker, which takes far longer while entries
    // are behind, and against a former start that the worker still carries out.
    await startWorker();
    worker.startFaults.push("carried_out_late");
    const run = createRun(owner);
    await startRun(run);
    await wait(worker.lateStartDelayMs + 50);
    expect(worker.starts).to.have.length(1);
    worker.endRun(run.task, "done");
    await waitUntil(() => owner.ends.length === 1, "the end is reported");
    expect(owner.getOutcomes()).to.deep.equal(["done"]);
  });

  it("hands a run whose starts all arrive late back to its entry, and never starts it", async () => {
    await startWorker();
    worker.startFaults.push(
      "carried_out_late",
      "carried_out_late",
      "carried_out_late",
    );
    runner.add(createRun(owner));
    runner.processQueue();
    await waitUntil(() => owner.ends.length === 1, "the run is returned");
    expect(owner.getOutcomes()).to.deep.equal(["returned"]);
    await wait(worker.lateStartDelayMs + 50);
    expect(worker.starts).to.have.length(0);
  });

  it("stops runs of a former process before it accepts work", async () => {
    worker.running.set("old", { task: "old", run: 3 });
    await startWorker();
    expect(worker.running.has("old")).to.equal(false);
    expect(worker.starts).to.have.length(0);
  });

  it("does not renew the lease of runs of a former agent process", async () => {
    worker.running.set("old", { task: "old", run: 3 });
    runner.handleWorkerReport(createDescription());
    expect(worker.leaseUntilMs).to.equal(0);
    await waitUntil(() => !worker.running.has("old"), "the old run is stopped");
  });

  it("does not renew the lease while a run of a former agent process is being stopped", async () => {
    // Guards against runs that go on longer than their entry's expiry of lost runs.
    worker.running.set("old", { task: "old", run: 3 });
    worker.stopDelayMs = 300;
    runner.handleWorkerReport(createDescription());
    await wait(250);
    expect(worker.leaseUntilMs).to.equal(0);
    await waitUntil(() => runner.acceptsWork, "the old run is stopped");
  });

  describe("while a run of an entry that is lost is being stopped", () => {
    const lost = new TestOwner("entry-2");

    beforeEach(async () => {
      lost.isAcknowledging = true;
      worker.stopDelayMs = 400;
      await startWorker();
      await startRun(createRun(lost, { task: "lost" }));
      lost.isAcknowledging = false;
      runner.stopWhere((run) => run.owner === lost, "entry_lost");
    });

    /** Waits for a condition; checks `isKept` while the lost run goes on. */
    async function waitAfterLostRun(
      condition: () => boolean,
      { isKept, text }: { isKept: () => boolean; text: string },
    ): Promise<void> {
      expect(worker.running.has("lost")).to.equal(true);
      await waitUntil(() => {
        if (worker.running.has("lost")) {
          expect(isKept(), "while the lost run goes on").to.equal(true);
        }
        return condition();
      }, text);
      expect(worker.running.has("lost")).to.equal(false);
    }

    it("does not renew the lease, which covers that run too", async () => {
      // Guards against runs that go on longer than their entry's expiry of lost runs.
      const { leaseUntilMs } = worker;
      await waitAfterLostRun(() => worker.leaseUntilMs > leaseUntilMs, {
        isKept: () => worker.leaseUntilMs === leaseUntilMs,
        text: "the lease is renewed after the end of the run",
      });
    });

    it("starts no run, whose order would renew the lease", async () => {
      // Guards against a start that extends the lease of a run that must end.
      const { leaseUntilMs } = worker;
      runner.add(createRun(owner));
      runner.processQueue();
      await waitAfterLostRun(() => worker.starts.length === 2, {
        isKept: () =>
          worker.starts.length === 1 && worker.leaseUntilMs === leaseUntilMs,
        text: "the run is started",
      });
      expect(owner.ends).to.deep.equal([]);
    });
  });

  it("keeps the runs of an entry that is not responsive queued until it is", async () => {
    await startWorker();
    owner.isAcknowledging = false;
    runner.add(createRun(owner));
    runner.processQueue();
    const other = new TestOwner("entry-2");
    await startRun(createRun(other, { task: "other" }));
    expect(worker.starts.map(({ task }) => task)).to.deep.equal(["other"]);
    expect(owner.ends).to.deep.equal([]);
    owner.isAcknowledging = true;
    runner.processQueue();
    await waitUntil(() => worker.starts.length === 2, "the run is started");
    expect(owner.ends).to.deep.equal([]);
  });

  it("hands queued and new runs back to their entry while the worker drains", async () => {
    await startWorker();
    for (const task of ["a", "b", "c"]) {
      runner.add(createRun(owner, { task }));
    }
    runner.processQueue();
    runner.handleWorkerReport(
      createDescription({ sequence: 2, isDraining: true }),
    );
    expect(owner.ends.map(({ task, outcome }) => `${task} ${outcome}`))
      .to.deep.equal(["c returned"]);
    runner.add(createRun(owner, { task: "d" }));
    expect(owner.getOutcomes()).to.deep.equal(["returned", "returned"]);
  });

  it("starts no runs in a zone that is out of service", async () => {
    await startWorker();
    isInService = false;
    runner.add(createRun(owner));
    expect(owner.getOutcomes()).to.deep.equal(["returned"]);
  });

  it("ignores a worker report that is older than the latest one", async () => {
    runner.handleWorkerReport(
      createDescription({ sequence: 5, isDraining: true }),
    );
    runner.handleWorkerReport(createDescription({ sequence: 4 }));
    expect(runner.worker?.isDraining).to.equal(true);
    runner.handleWorkerReport(
      createDescription({ bornAtMs: 900, sequence: 9 }),
    );
    expect(runner.worker?.bornAtMs).to.equal(1_000);
    await waitUntil(
      () => log.count("worker_report_ignored") === 2,
      "the worker has answered",
    );
    expect(runner.worker?.bornAtMs).to.equal(1_000);
    expect(runner.worker?.isDraining).to.equal(true);
  });

  const otherReports: [string, Partial<WorkerDescription>][] = [
    ["a later start", { bornAtMs: 2_000 }],
    ["a start far ahead", { bornAtMs: Number.MAX_SAFE_INTEGER }],
    ["an earlier start", { bornAtMs: 900, sequence: 9 }],
    ["another id", { workerId: "w-2", bornAtMs: 2_000 }],
  ];
  for (const [name, changes] of otherReports) {
    it(`keeps the runs of a worker that answers after a report of ${name}`, async () => {
      // Guards against a report of another writer that ends the runs of a sound worker.
      await startWorker();
      const run = createRun(owner);
      await startRun(run);
      runner.handleWorkerReport(createDescription(changes));
      await waitUntil(
        () => log.count("worker_report_ignored") === 1,
        "the worker has answered",
      );
      expect(runner.acceptsWork).to.equal(true);
      runner.handleWorkerReport(createDescription({ sequence: 2 }));
      expect(log.count("worker_found")).to.equal(1);
      worker.endRun(run.task, "done");
      await waitUntil(() => owner.ends.length === 1, "the end is reported");
      expect(owner.getOutcomes()).to.deep.equal(["done"]);
      expect(crashes).to.deep.equal([]);
    });
  }

  it("finds the worker after a first report with a start far ahead", async () => {
    // Guards against a worker whose own reports count as late for good.
    runner.handleWorkerReport(
      createDescription({ bornAtMs: Number.MAX_SAFE_INTEGER }),
    );
    await waitUntil(() => runner.worker === undefined, "the report is refuted");
    await startWorker();
    expect(runner.worker?.bornAtMs).to.equal(1_000);
    await startRun(createRun(owner));
  });

  it("finds the worker that reports while a report of another writer is in use", async () => {
    runner.handleWorkerReport(createDescription({ workerId: "w-2" }));
    await startWorker();
    expect(runner.worker?.workerId).to.equal("w-1");
  });

  it("follows a worker that starts again under another id", async () => {
    await startWorker();
    await startRun(createRun(owner));
    worker.workerId = "w-2";
    worker.restart(2_000);
    runner.handleWorkerReport(
      createDescription({ workerId: "w-2", bornAtMs: 2_000 }),
    );
    await waitUntil(
      () => owner.ends.length === 1 && runner.acceptsWork,
      "the worker is in use",
    );
    expect(owner.getOutcomes()).to.deep.equal(["crashed"]);
    expect(runner.worker?.workerId).to.equal("w-2");
  });

  it("follows a worker whose clock was set back before it started again", async () => {
    await startWorker();
    worker.restart(500);
    runner.handleWorkerReport(createDescription({ bornAtMs: 500 }));
    await waitUntil(() => runner.worker?.bornAtMs === 500, "it is in use");
    await waitUntil(() => runner.acceptsWork, "the runner accepts work");
  });

  it("uses the reports of a worker again after one with a number far ahead", async () => {
    await startWorker();
    runner.handleWorkerReport(
      createDescription({ sequence: 1e9, isDraining: true }),
    );
    for (const sequence of [2, 3, 4]) {
      expect(runner.acceptsWork).to.equal(false);
      await wait(550);
      runner.handleWorkerReport(createDescription({ sequence }));
    }
    expect(runner.acceptsWork).to.equal(true);
  });

  it("keeps a draining worker after several late reports at once", async () => {
    await startWorker();
    runner.handleWorkerReport(
      createDescription({ sequence: 9, isDraining: true }),
    );
    for (const sequence of [2, 3, 4, 5, 6]) {
      runner.handleWorkerReport(createDescription({ sequence }));
    }
    expect(runner.worker?.isDraining).to.equal(true);
  });

  it("does not take a run for lost by reports that the worker made before its start", async () => {
    // Guards against a second run of a task while the first one goes on.
    await startWorker();
    await startRun(createRun(owner, { task: "other" }));
    await startRun(createRun(owner, { task: "ended" }));
    worker.startFaults.push("execution_delayed");
    worker.heldReports = 2;
    worker.endRun("ended", "done");
    const run = createRun(owner, { expectedMs: 1_000 });
    runner.add(run);
    runner.processQueue();
    await waitUntil(() => worker.heldReports === 0, "two reports are held");
    await waitUntil(() => worker.running.has(run.task), "the run has started");
    await wait(0);
    worker.releaseReports();
    await wait(50);
    expect(owner.getOutcomes()).to.deep.equal(["done"]);
  });

  it("reports the end of a run soon when the reply to the open renewal is lost", async () => {
    // Guards against a worker that stands still, since the room of its ended runs seems taken.
    await startWorker();
    worker.lostRenewals = 1;
    await waitUntil(() => worker.lostRenewals === 0, "a renewal is lost");
    const run = createRun(owner);
    await startRun(run);
    worker.endRun(run.task, "done");
    await waitUntil(() => owner.ends.length === 1, "the end is reported");
  });

  it("keeps its runs after lease answers that can't be read", async () => {
    await startWorker();
    const run = createRun(owner);
    await startRun(run);
    worker.unreadableRenewals = 2;
    await waitUntil(() => worker.unreadableRenewals === 0, "both are sent");
    await waitUntil(() => runner.acceptsWork, "a renewal is read");
    expect(owner.ends).to.deep.equal([]);
    worker.endRun(run.task, "done");
    await waitUntil(() => owner.ends.length === 1, "the end is reported");
    expect(owner.getOutcomes()).to.deep.equal(["done"]);
  });

  it("starts nothing over a capacity that has shrunk until enough runs have ended", async () => {
    await startWorker();
    const tasks = ["a", "b", "c"];
    await startRun(createRun(owner, { task: "a" }));
    await startRun(createRun(owner, { task: "b" }));
    const capacity = { cpuMillis: 2_000, memoryMb: 1_000, gpus: 0 };
    runner.handleWorkerReport(createDescription({ sequence: 2, capacity }));
    runner.add(createRun(owner, { task: "c" }));
    runner.processQueue();
    worker.endRun("a", "done");
    await waitUntil(() => owner.ends.length === 1, "the first run has ended");
    await wait(50);
    expect(worker.starts).to.have.length(2);
    worker.endRun("b", "done");
    await waitUntil(() => worker.starts.length === 3, "the third has started");
    expect(worker.starts.map(({ task }) => task)).to.deep.equal(tasks);
  });

  it("counts a run that is being stopped against the capacity", async () => {
    await startWorker();
    await startRun(createRun(owner, { task: "a" }));
    await startRun(createRun(owner, { task: "b" }));
    worker.stopDelayMs = 100;
    runner.stopWhere(({ task }) => task === "a", "ordered");
    runner.add(createRun(owner, { task: "c" }));
    runner.processQueue();
    await wait(60);
    expect(worker.starts).to.have.length(2);
    await waitUntil(() => worker.starts.length === 3, "the third has started");
    expect(worker.running.has("a")).to.equal(false);
  });

  it("hands back the queued runs that no longer fit a worker whose capacity has shrunk", async () => {
    await startWorker();
    await startRun(createRun(owner, { task: "a" }));
    await startRun(createRun(owner, { task: "b" }));
    runner.add(createRun(owner, { task: "c" }));
    runner.processQueue();
    const capacity = { cpuMillis: 1_000, memoryMb: 1_000, gpus: 0 };
    runner.handleWorkerReport(createDescription({ sequence: 2, capacity }));
    expect(owner.getOutcomes()).to.deep.equal(["returned"]);
    expect(owner.ends[0]?.task).to.equal("c");
  });

  it("keeps the runs of a worker whose leave message comes late", async () => {
    await startWorker();
    const run = createRun(owner);
    await startRun(run);
    runner.handleWorkerLeave("w-1");
    expect(runner.acceptsWork).to.equal(false);
    expect(owner.ends).to.have.length(0);
    runner.handleWorkerReport(createDescription({ sequence: 2 }));
    expect(runner.acceptsWork).to.equal(true);
    worker.endRun(run.task, "done");
    await waitUntil(() => owner.ends.length === 1, "the end is reported");
    expect(owner.getOutcomes()).to.deep.equal(["done"]);
  });

  it("reports runs as crashed once their worker has restarted", async () => {
    await startWorker();
    const run = createRun(owner);
    await startRun(run);
    worker.restart(2_000);
    runner.handleWorkerReport(createDescription({ bornAtMs: 2_000 }));
    await waitUntil(() => owner.ends.length === 1, "the run has ended");
    expect(owner.getOutcomes()).to.deep.equal(["crashed"]);
  });

  describe("when the worker has started again under its id without notice", () => {
    // Guards against runs that are started elsewhere while they run on the new incarnation.
    const report = createDescription({ bornAtMs: 2_000 });
    let run: LocalRun;
    let endsWhileRunning: RunEnd[];

    beforeEach(async () => {
      await startWorker();
      // The next renewal waits at the worker, so the agent learns nothing by it.
      await wait(20);
      worker.restart(2_000, { keepsCalls: true });
      endsWhileRunning = [];
      owner.handleEnd = (end) => {
        owner.ends.push(end);
        if (worker.running.has(end.task)) {
          endsWhileRunning.push(end);
        }
      };
      run = createRun(owner);
    });

    async function waitForIncarnation(): Promise<void> {
      await waitUntil(
        () => runner.worker?.bornAtMs === 2_000 && runner.acceptsWork,
        "the incarnation is in use",
      );
    }

    async function expectEnd(outcome: string): Promise<void> {
      await waitUntil(() => owner.ends.length === 1, "the run has ended");
      expect(owner.getOutcomes()).to.deep.equal([outcome]);
      expect(endsWhileRunning).to.deep.equal([]);
      expect(worker.running.size).to.equal(0);
      expect(runner.runCount).to.equal(0);
    }

    for (const statesBirth of [false, true]) {
      const name = statesBirth ? "" : " that the reply does not name";
      it(`keeps a run that was started on an incarnation${name}`, async () => {
        worker.statesBirth = statesBirth;
        await startRun(run);
        runner.handleWorkerReport(report);
        await waitForIncarnation();
        expect(worker.running.has(run.task)).to.equal(true);
        worker.endRun(run.task, "done");
        await expectEnd("done");
        expect(crashes).to.deep.equal([]);
      });
    }

    it("keeps a run whose start is answered after the worker's report", async () => {
      worker.startFaults.push("answer_delayed");
      await startRun(run);
      runner.handleWorkerReport(report);
      await waitUntil(() => runner.worker?.bornAtMs === 2_000, "it is found");
      await wait(2 * worker.answerDelayMs);
      expect(worker.running.has(run.task)).to.equal(true);
      worker.endRun(run.task, "done");
      await expectEnd("done");
    });

    it("keeps a run whose start is not answered", async () => {
      worker.startFaults.push("answer_lost");
      await startRun(run);
      runner.handleWorkerReport(report);
      await waitUntil(() => log.count("run_started") === 1, "it is listed");
      worker.endRun(run.task, "done");
      await expectEnd("done");
    });

    it("keeps a run until the worker has described itself", async () => {
      await startRun(run);
      await waitUntil(() => runner.worker === undefined, "it is detected");
      await wait(100);
      expect(owner.ends).to.deep.equal([]);
      runner.handleWorkerReport(report);
      await waitForIncarnation();
      worker.endRun(run.task, "done");
      await expectEnd("done");
    });

    it("reports the end of a run that ended before the worker's report", async () => {
      await startRun(run);
      worker.endRun(run.task, "done");
      runner.handleWorkerReport(report);
      await expectEnd("done");
    });

    it("stops a run that is cancelled before it is known where it is", async () => {
      await startRun(run);
      await waitUntil(() => runner.worker === undefined, "it is detected");
      runner.stopWhere(() => true, "ordered");
      runner.handleWorkerReport(report);
      await expectEnd("stopped");
    });

    it("counts a run against the capacity before it is known where it is", async () => {
      await startRun(run);
      runner.handleWorkerReport(report);
      await waitForIncarnation();
      expect(runner.getStatus().freeCpuMillis).to.equal(2_000);
      worker.endRun(run.task, "done");
      await expectEnd("done");
    });

    it("reports a run as crashed that a second incarnation does not have", async () => {
      await startRun(run);
      worker.restart(3_000);
      runner.handleWorkerReport(createDescription({ bornAtMs: 3_000 }));
      await expectEnd("crashed");
    });

    it("reports a run as crashed once no incarnation can have it", async () => {
      worker.startFaults.push("connection_reset");
      runner.add(run);
      runner.processQueue();
      const startedAt = performance.now();
      await expectEnd("crashed");
      expect(performance.now() - startedAt).to.be.greaterThan(1_100);
      expect(crashes.flat().map(({ hasStarted }) => hasStarted))
        .to.deep.equal([false]);
    });

    it("reports a run as crashed at once if the worker refuses connections later", async () => {
      await startRun(run);
      await wait(5);
      worker.crash();
      const crashedAt = performance.now();
      await expectEnd("crashed");
      expect(performance.now() - crashedAt).to.be.lessThan(1_000);
    });
  });

  it("reports runs as crashed once their worker no longer listens", async () => {
    await startWorker();
    await startRun(createRun(owner));
    worker.isDown = true;
    await waitUntil(() => owner.ends.length === 1, "the run is lost");
    expect(owner.getOutcomes()).to.deep.equal(["crashed"]);
    expect(runner.acceptsWork).to.equal(false);
    const crash = log.events.find(({ event }) => event === "runs_interrupted");
    expect(crash?.fields["tasks"]).to.have.length(1);
  });

  it("starts the tasks of an earlier crash at once if they crash at different points", async () => {
    await startWorker();
    const suspects = [["a", 10], ["b", 200]] as const;
    for (const [task, crashedAfterMs] of suspects) {
      runner.add(createRun(owner, { task, crashes: 1, crashedAfterMs }));
    }
    runner.processQueue();
    await wait(10);
    expect(worker.starts).to.have.length(2);
  });

  it("starts the tasks of an earlier crash one after the other if they crash at the same point", async () => {
    await startWorker();
    const startedAt = performance.now();
    for (const task of ["a", "b"]) {
      runner.add(createRun(owner, { task, crashes: 1, crashedAfterMs: 10 }));
    }
    runner.processQueue();
    await wait(10);
    expect(worker.starts).to.have.length(1);
    await waitUntil(() => worker.starts.length === 2, "both have started");
    expect(performance.now() - startedAt).to.be.greaterThan(25);
  });

  it("does not hold a crash against a run whose start met a crashing worker", async () => {
    await startWorker();
    await startRun(createRun(owner, { task: "a" }));
    worker.startFaults.push("connection_reset");
    runner.add(createRun(owner, { task: "b" }));
    runner.processQueue();
    await waitUntil(() => owner.ends.length === 2, "both runs have ended");
    expect(
      crashes.flat().map(({ task, hasStarted }) => [task, hasStarted]),
    ).to.have.deep.members([["a", true], ["b", false]]);
  });

  it("returns a run whose start met a worker that no longer listens", async () => {
    await startWorker();
    worker.isDown = true;
    runner.add(createRun(owner));
    runner.processQueue();
    await waitUntil(() => owner.ends.length === 1, "the run has ended");
    expect(owner.getOutcomes()).to.deep.equal(["returned"]);
    expect(crashes).to.deep.equal([]);
  });

  it("does not take the end of a draining worker as a crash", async () => {
    await startWorker();
    await startRun(createRun(owner));
    runner.handleWorkerLeave("w-1");
    worker.isDown = true;
    await waitUntil(() => owner.ends.length === 1, "the run has ended");
    expect(owner.getOutcomes()).to.deep.equal(["lost"]);
    expect(crashes).to.deep.equal([]);
  });

  it("reports runs of an unresponsive worker as lost after their lease", async () => {
    await startWorker();
    const startedAt = performance.now();
    await startRun(createRun(owner));
    worker.isUnresponsive = true;
    await waitUntil(() => owner.ends.length === 1, "the run is lost");
    expect(owner.getOutcomes()).to.deep.equal(["lost"]);
    expect(performance.now() - startedAt).to.be.greaterThan(1_000);
  });

  it("stops a run that is cancelled before its start is known", async () => {
    await startWorker();
    worker.startFaults.push("answer_lost");
    const run = createRun(owner);
    await startRun(run);
    runner.stopWhere(() => true, "ordered");
    await waitUntil(() => owner.ends.length === 1, "the run is stopped");
    expect(owner.getOutcomes()).to.deep.equal(["stopped"]);
    expect(worker.running.size).to.equal(0);
  });

  describe("says in the line of a run's end", () => {
    function getEnd(task: string): Record<string, unknown> | undefined {
      return log.events.find(({ event, fields }) =>
        event === "run_ended" && fields["task"] === task &&
        fields["outcome"] !== "returned"
      )?.fields;
    }

    async function expectStop(
      task: string,
      stop: { stopReason: string; stoppedBy: string },
    ): Promise<void> {
      await waitUntil(() => getEnd(task) !== undefined, "the run has ended");
      expect(getEnd(task)).to.include(stop);
    }

    beforeEach(async () => {
      await startWorker();
      await startRun(createRun(owner, { task: "a" }));
    });

    for (
      const reason of [
        "ordered",
        "entry_lost",
        "entry_silent",
        "entry_reconnected",
      ] as const
    ) {
      it(`that it was stopped as ${reason}`, async () => {
        runner.stopWhere(() => true, reason);
        await expectStop("a", { stopReason: reason, stoppedBy: "entry-1" });
        expect(getEnd("a")?.["outcome"]).to.equal("stopped");
      });
    }

    it("which entry cancelled its job, and why", async () => {
      await startRun(createRun(owner, { task: "b", jobId: "2" }));
      const other = new TestOwner("entry-2");
      runner.cancelJob("0000000000000001", other, "superseded");
      runner.cancelJob("2", owner, "requested");
      await expectStop("a", {
        stopReason: "superseded",
        stoppedBy: "entry-2",
      });
      await expectStop("b", { stopReason: "cancelled", stoppedBy: "entry-1" });
    });

    it("whose later order it gave way to", async () => {
      await startRun(createRun(owner, { task: "b" }));
      runner.add(createRun(new TestOwner("entry-2"), { task: "a" }));
      runner.add(createRun(owner, { task: "b", run: 2 }));
      await expectStop("a", {
        stopReason: "other_entry",
        stoppedBy: "entry-2",
      });
      await expectStop("b", { stopReason: "later_run", stoppedBy: "entry-1" });
    });

    it("the first of several reasons, and the time since then", async () => {
      worker.stopDelayMs = 120;
      runner.stopWhere(() => true, "entry_silent");
      await wait(60);
      runner.stopWhere(() => true, "entry_lost");
      await expectStop("a", {
        stopReason: "entry_silent",
        stoppedBy: "entry-1",
      });
      // The timer of the worker may fire 1 ms early.
      expect(getEnd("a")?.["stopMs"]).to.be.within(119, 1_000);
    });

    it("that it was asked to stop, also when it ended as done", async () => {
      worker.stopDelayMs = 1_000;
      runner.stopWhere(() => true, "ordered");
      worker.endRun("a", "done");
      await expectStop("a", { stopReason: "ordered", stoppedBy: "entry-1" });
      expect(getEnd("a")?.["outcome"]).to.equal("done");
    });

    it("that it was stopped before its start was known", async () => {
      worker.startFaults.push("answer_lost");
      await startRun(createRun(owner, { task: "b" }));
      runner.stopWhere(({ task }) => task === "b", "ordered");
      await expectStop("b", { stopReason: "ordered", stoppedBy: "entry-1" });
    });

    it("nothing of a stop that nobody asked for", async () => {
      worker.endRun("a", "stopped");
      await waitUntil(() => getEnd("a") !== undefined, "the run has ended");
      expect(getEnd("a")).to.include({
        outcome: "stopped",
        stopReason: undefined,
        stopMs: undefined,
      });
    });
  });

  it("stops only the run that is in the way of a later one of its entry", async () => {
    // Guards against an entry whose order for one task stops its other tasks.
    await startWorker();
    await startRun(createRun(owner, { task: "a" }));
    await startRun(createRun(owner, { task: "b" }));
    runner.add(createRun(owner, { task: "a", run: 2 }));
    await waitUntil(() => !worker.running.has("a"), "the run is stopped");
    await wait(50);
    expect(worker.running.has("b")).to.equal(true);
    expect(owner.cancelledJobs).to.deep.equal([]);
  });

  it("tells an entry to give up a job of which another entry orders a run", async () => {
    // Guards against two entries that have each other's runs stopped.
    await startWorker();
    const run = createRun(owner, { task: "a" });
    await startRun(run);
    const other = new TestOwner("entry-2");
    runner.add(createRun(other, { task: "a" }));
    await waitUntil(() => owner.ends.length === 1, "the run is stopped");
    expect(owner.cancelledJobs).to.deep.equal([run.jobId]);
    expect(other.cancelledJobs).to.deep.equal([]);
    expect(other.ends[0]).to.include({ outcome: "returned" });
  });

  it("hands a run back to its entry while an earlier one of its task is running", async () => {
    await startWorker();
    const run = createRun(owner);
    await startRun(run);
    const other = new TestOwner("entry-2");
    runner.add(createRun(other, { run: 2 }));
    expect(other.getOutcomes()).to.deep.equal(["returned"]);
    await waitUntil(
      () => owner.ends.length === 1,
      "the earlier run is stopped",
    );
    expect(owner.getOutcomes()).to.deep.equal(["stopped"]);
  });
});
