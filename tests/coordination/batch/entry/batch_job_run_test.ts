import { setTimeout as wait } from "node:timers/promises";
import { expect } from "chai";
import {
  type AgentStream,
  type BatchAnswer,
  BatchJobRun,
  PlaceRecord,
} from "../../../../src/coordination/batch/entry/mod.ts";
import { getRunExpiryMs } from "../../../../src/coordination/batch/get_run_expiry_ms.ts";
import type {
  RunEnd,
  RunOrder,
} from "../../../../src/coordination/messages/mod.ts";
import {
  type BatchStep,
  CrashHistory,
  DeclinePolicy,
  type RunOutcome,
  type WorkerLoad,
  type WorkerOffer,
} from "../../../../src/state/batch/mod.ts";
import { Metrics } from "../../../../src/state/metrics/mod.ts";
import { createBatchStep } from "../../../lib/create_batch_step.ts";
import { RecordedLog } from "../../../lib/recorded_log.ts";
import { waitUntil } from "../../../lib/wait_until.ts";
import { createWorkerLoad } from "../../../lib/create_worker_load.ts";

const JOB_ID = "00000000000000aa";

/** Time after which the runs of a lost stream have ended, in milliseconds. */
const EXPIRY_MS = getRunExpiryMs();

interface SentRun extends Pick<RunOrder, "expectedMs" | "recheckAfterMs"> {
  agentId: string;
  stream: AgentStream;
  task: string;
  run: number;
}

/** A job with agents that only record what is sent to them. */
class JobHarness {
  readonly sent: SentRun[] = [];
  readonly sentTimesLeftMs: number[] = [];
  readonly stopped: { agentId: string; tasks: string[] }[] = [];
  readonly log = new RecordedLog();
  readonly metrics = new Metrics();
  /** Number of the stream to each agent; a test raises it for a new one. */
  streamNumber = 1;
  /** Address at which the agents accept streams. */
  address = "10.0.0.1:1";
  offers: WorkerOffer[] = [];
  isConfined = false;
  hasUnknownWorkers = false;
  /** Whether there are streams to the agents. */
  hasStreams = true;
  /** Whether the entry may start runs of the job. */
  hasClaim = true;
  readonly crashHistory = new CrashHistory();
  loads: WorkerLoad[] = ["a", "b"].map((agentId) =>
    createWorkerLoad({ agentId })
  );
  readonly run: BatchJobRun;
  answer: BatchAnswer | undefined;
  grantRequests = 0;

  constructor(
    steps: BatchStep[],
    timeLeftMs = 10_000,
    loads?: WorkerLoad[],
    offers: WorkerOffer[] = [],
    getTime = () => performance.now(),
  ) {
    this.offers = offers;
    this.loads = loads ?? this.loads;
    this.run = new BatchJobRun({
      job: { id: JOB_ID, spec: "x", steps },
      route: {
        name: "r",
        host: "h",
        pathPrefix: "/",
        service: "s",
        priority: 0,
        timeoutMs: 10_000,
        maxAttempts: 2,
        stretch: 1.6,
        latencyTargetMs: 60,
        maxLateness: 4,
      },
      timeLeftMs,
      log: this.log,
      crashHistory: this.crashHistory,
      getLoads: () => this.loads,
      getOffers: () => this.offers,
      hasUnknownWorkers: () => this.hasUnknownWorkers,
      isConfined: () => this.isConfined,
      declinePolicy: new DeclinePolicy(),
      hasClaim: () => this.hasClaim,
      requestGrants: () => this.grantRequests++,
      getAgeMs: () => 0,
      claimFor: () => ({ claimNumber: 0, awaitedHomes: 0 }),
      sendStart: (agentId, { runs, timeLeftMs }) => {
        if (!this.hasStreams) {
          return undefined;
        }
        this.sentTimesLeftMs.push(timeLeftMs);
        const stream = this.getStream(agentId);
        for (const { task, run, expectedMs, recheckAfterMs } of runs) {
          const times = { expectedMs, recheckAfterMs };
          this.sent.push({ agentId, stream, task, run, ...times });
        }
        return stream;
      },
      sendStop: (agentId, tasks) => this.stopped.push({ agentId, tasks }),
      farFactor: 1.5,
      placeRecord: new PlaceRecord({ metrics: this.metrics }),
      getTime,
    });
    void this.run.answer.then((answer) => this.answer = answer);
    this.run.start();
  }

  getStream(agentId: string): AgentStream {
    return { agentId, address: this.address, number: this.streamNumber };
  }

  endRun(sentIndex: number, outcome: RunOutcome): void {
    const { stream, task, run } = this.sent[sentIndex] as SentRun;
    const end: RunEnd = { task, run, outcome, runMs: 1, detail: "" };
    this.run.handleEnd(stream, end);
  }

  /** Breaks the stream of a sent run; the agent's next stream is another one. */
  loseStream(sentIndex: number): AgentStream {
    const { stream } = this.sent[sentIndex] as SentRun;
    this.run.handleStreamLost(stream);
    this.streamNumber++;
    return this.getStream(stream.agentId);
  }
}

/**
 * Blocks the event loop for a time in milliseconds, so that all timers that fall due
 * meanwhile are handled in one turn, as after a pause of the process.
 */
function runBusyLoop(durationMs: number): void {
  const until = performance.now() + durationMs;
  while (performance.now() < until);
}

describe("BatchJobRun", () => {
  it("is completed when all tasks are done", async () => {
    const job = new JobHarness([createBatchStep({ count: 3 })]);
    expect(job.sent).to.have.length(3);
    for (const sentIndex of [0, 1, 2]) {
      expect(job.answer).to.equal(undefined);
      job.endRun(sentIndex, "done");
    }
    await wait(0);
    expect(job.answer).to.deep.equal({ kind: "completed" });
  });

  describe("with a step that waits while tasks of other steps end", () => {
    const createSteps = (changes: Partial<BatchStep>) => [
      createBatchStep(),
      createBatchStep({ count: 12 }),
      createBatchStep({ count: 4, dependsOn: [0], ...changes }),
    ];
    const getLastStep = ({ sent }: JobHarness) =>
      sent.filter(({ task }) => task.startsWith(`${JOB_ID}.0.2.`));

    // Guards against two runs of a task at the same time: each end planned one more
    // placement of each task that waited (review/11).
    for (const sharesRack of [true, false]) {
      const kind = sharesRack ? "tasks of a group" : "single tasks";
      it(`sends ${kind} once when the entry may start runs again`, async () => {
        const job = new JobHarness(createSteps({ sharesRack }));
        job.hasClaim = false;
        for (let sentIndex = 0; sentIndex < 13; sentIndex++) {
          job.endRun(sentIndex, "done");
        }
        await wait(30);
        expect(getLastStep(job)).to.have.length(0);
        job.hasClaim = true;
        runBusyLoop(50);
        await waitUntil(() => getLastStep(job).length > 0, "they are sent");
        await wait(30);
        expect(getLastStep(job).map(({ run }) => run))
          .to.deep.equal([1, 1, 1, 1]);
        job.run.cancel();
      });

      it(`sends ${kind} once when a worker fits them again`, async () => {
        const requiredLabel = "big";
        const steps = createSteps({ sharesRack, requiredLabel });
        const job = new JobHarness(steps);
        for (let sentIndex = 0; sentIndex < 13; sentIndex++) {
          job.endRun(sentIndex, "done");
        }
        await wait(5);
        job.loads = ["c", "d"].map((agentId) =>
          createWorkerLoad({ agentId, labels: [requiredLabel] })
        );
        runBusyLoop(150);
        await waitUntil(() => getLastStep(job).length > 0, "they are sent");
        await wait(150);
        expect(getLastStep(job).map(({ run }) => run))
          .to.deep.equal([1, 1, 1, 1]);
        job.run.cancel();
      });
    }

    for (const sharesRack of [true, false]) {
      const kind = sharesRack ? "a group" : "single tasks";
      for (
        const outcome of ["declined", "failed", "lost", "returned"] as const
      ) {
        // Guards against further runs beside that one, whatever puts it off how often.
        it(`sends one run after one that is ${outcome}, of ${kind}, while other tasks end`, async () => {
          const job = new JobHarness(createSteps({ sharesRack }));
          job.endRun(0, "done");
          expect(getLastStep(job)).to.have.length(4);
          job.hasClaim = false;
          for (let index = 0; index < 4; index++) {
            job.endRun(13 + index, outcome);
          }
          for (let sentIndex = 1; sentIndex < 13; sentIndex++) {
            job.endRun(sentIndex, "done");
            await wait(5);
          }
          expect(getLastStep(job)).to.have.length(4);
          job.hasClaim = true;
          runBusyLoop(50);
          await waitUntil(() => getLastStep(job).length > 4, "sent again");
          await wait(60);
          expect(getLastStep(job).map(({ run }) => run))
            .to.deep.equal([1, 1, 1, 1, 2, 2, 2, 2]);
          job.run.cancel();
        });
      }

      // Guards against runs of lost streams that end by a report and by their expiry.
      it(`sends one run after one of a lost stream, of ${kind}`, async () => {
        const steps = createSteps({ sharesRack, expectedMs: 1_000 });
        const job = new JobHarness(steps, 60_000);
        for (let sentIndex = 0; sentIndex < 13; sentIndex++) {
          job.endRun(sentIndex, "done");
        }
        expect(getLastStep(job)).to.have.length(4);
        job.hasClaim = false;
        for (const sentIndex of [13, 14, 15, 16]) {
          const { stream } = job.sent[sentIndex] as SentRun;
          job.run.handleStreamLost(stream);
        }
        job.streamNumber++;
        for (const agentId of ["a", "b"]) {
          job.run.handleEarlierRunsEnded(job.getStream(agentId));
          job.run.handleEarlierRunsEnded(job.getStream(agentId));
        }
        await wait(EXPIRY_MS + 20);
        job.hasClaim = true;
        runBusyLoop(50);
        await waitUntil(() => getLastStep(job).length > 4, "sent again");
        await wait(60);
        expect(getLastStep(job).map(({ run }) => run))
          .to.deep.equal([1, 1, 1, 1, 2, 2, 2, 2]);
        job.run.cancel();
      });

      // Guards against further runs after the stream broke as they were ordered.
      it(`sends one run of ${kind} when there is a stream again`, async () => {
        const job = new JobHarness(createSteps({ sharesRack }));
        job.hasStreams = false;
        for (let sentIndex = 0; sentIndex < 13; sentIndex++) {
          job.endRun(sentIndex, "done");
        }
        await wait(60);
        expect(getLastStep(job)).to.have.length(0);
        job.hasStreams = true;
        runBusyLoop(50);
        await waitUntil(() => getLastStep(job).length > 0, "they are sent");
        await wait(60);
        expect(getLastStep(job)).to.have.length(4);
        expect(new Set(getLastStep(job).map(({ task }) => task)))
          .to.have.property("size", 4);
        job.run.cancel();
      });
    }

    // Guards against an earlier plan that cuts the delay of a later one short.
    it("waits the whole delay after a run that was returned", async () => {
      const job = new JobHarness(createSteps({}));
      job.hasClaim = false;
      for (let sentIndex = 0; sentIndex < 13; sentIndex++) {
        job.endRun(sentIndex, "done");
        await wait(1);
      }
      job.hasClaim = true;
      await waitUntil(() => getLastStep(job).length === 4, "they are sent");
      job.endRun(13, "returned");
      await wait(15);
      expect(getLastStep(job)).to.have.length(4);
      await waitUntil(() => getLastStep(job).length === 5, "one is sent again");
      job.run.cancel();
    });
  });

  describe("with tasks that share a rack", () => {
    const step = createBatchStep({ count: 4, sharesRack: true });
    const createLoads = (racks: string[]) =>
      racks.map((rack, n) =>
        createWorkerLoad({
          ...{ agentId: `agent-${n}`, rack },
          capacity: { cpuMillis: 4_000, memoryMb: 65_536, gpus: 0 },
          free: { cpuMillis: 4_000, memoryMb: 65_536, gpus: 0 },
        })
      );

    it("places them together again after their rack was cut off", async () => {
      const job = new JobHarness(
        [step],
        10_000,
        createLoads(["r1", "r1", "r2", "r3"]),
      );
      expect(new Set(job.sent.map(({ agentId }) => agentId)))
        .to.deep.equal(new Set(["agent-0", "agent-1"]));
      // Each of the streams breaks; the agents return on other racks.
      const streams = [...new Set(job.sent.map(({ agentId }) => agentId))]
        .map((agentId) => ({ ...job.getStream(agentId), number: 1 }));
      streams.forEach((stream) => job.run.handleStreamLost(stream));
      job.loads = createLoads(["r5", "r6", "r2", "r2"]);
      job.streamNumber = 2;
      await wait(50);
      expect(job.sent, "before the runs have ended").to.have.length(4);
      streams.forEach(({ agentId }) =>
        job.run.handleEarlierRunsEnded(job.getStream(agentId))
      );
      await waitUntil(() => job.sent.length === 8, "all are placed again");
      expect(new Set(job.sent.slice(4).map(({ agentId }) => agentId)))
        .to.deep.equal(new Set(["agent-2", "agent-3"]));
    });

    it("tells agents and operators that they are spread", () => {
      const job = new JobHarness([step], 10_000, createLoads(["r1", "r2"]));
      expect(job.sent.map(({ expectedMs }) => expectedMs))
        .to.deep.equal([150, 150, 150, 150]);
      expect(job.metrics.format())
        .to.include('group_runs_by_place_total{place="spread"} 4');
      expect(JSON.stringify(job.log)).to.include("150 ms spread");
    });
  });

  it("has a run that waits near its data checked, and places it far afterwards", () => {
    const busy = {
      free: { cpuMillis: 0, memoryMb: 0, gpus: 0 },
      runningLeftMs: [20],
    };
    const job = new JobHarness(
      [createBatchStep({ expectedMs: 50, preferredRack: "r1" })],
      10_000,
      [
        createWorkerLoad({ agentId: "near", labels: ["r1"], ...busy }),
        createWorkerLoad({ agentId: "far", labels: ["r2"] }),
      ],
    );
    // The target is 1.6 x 50 ms + 60 ms; a far run takes up to 1.4 x 75 ms.
    expect(job.sent[0]).to.include({ agentId: "near", expectedMs: 50 });
    expect(job.sent[0]?.recheckAfterMs).to.be.within(20, 25);
    job.endRun(0, "declined");
    return waitUntil(() => job.sent.length === 2, "it is placed again")
      .then(() => {
        // The agent learns the speed of its worker by the expected run time.
        expect(job.sent[1]).to.include({ agentId: "far", expectedMs: 75 });
        expect(job.metrics.format()).to.include(
          'place_waits_total{result="handed_back"} 1',
        );
      });
  });

  it("starts a step when the steps that it depends on are done", async () => {
    const job = new JobHarness([
      createBatchStep({ count: 2 }),
      createBatchStep({ dependsOn: [0] }),
    ]);
    expect(job.sent).to.have.length(2);
    job.endRun(0, "done");
    expect(job.sent).to.have.length(2);
    job.endRun(1, "done");
    expect(job.sent[2]?.task).to.equal(`${JOB_ID}.0.1.0`);
    job.endRun(2, "done");
    await wait(0);
    expect(job.answer).to.deep.equal({ kind: "completed" });
  });

  it("retries a failed task on another agent, and fails after its last attempt", async () => {
    const job = new JobHarness([createBatchStep({ count: 2 })]);
    job.endRun(0, "failed");
    await waitUntil(() => job.sent.length === 3, "the task is sent again");
    const [first, , again] = job.sent;
    expect(again?.agentId).not.to.equal(first?.agentId);
    expect(again?.run).to.equal(2);
    job.endRun(2, "failed");
    await wait(0);
    expect(job.answer).to.deep.equal({ kind: "failed" });
    expect(job.stopped.flatMap(({ tasks }) => tasks))
      .to.deep.equal([`${JOB_ID}.0.0.1`]);
  });

  it("does not repeat the runs of a lost agent until they have ended", async () => {
    const job = new JobHarness([createBatchStep()]);
    const { agentId } = job.sent[0] as SentRun;
    const next = job.loseStream(0);
    await wait(300);
    expect(job.sent).to.have.length(1);
    job.run.handleEarlierRunsEnded(next);
    await waitUntil(() => job.sent.length === 2, "the task is sent again");
    expect(job.sent[1]?.agentId).not.to.equal(agentId);
    job.endRun(1, "done");
    await wait(0);
    expect(job.answer).to.deep.equal({ kind: "completed" });
  });

  it("answers at once when a lost run can't be repeated in time", async () => {
    const job = new JobHarness([createBatchStep()], 1_000);
    job.loseStream(0);
    await wait(0);
    expect(job.answer).to.deep.equal({ kind: "error", error: "agent_lost" });
  });

  it("does not repeat a run of a second lost stream when the runs of the first have expired", async () => {
    // Guards against a second run of a task whose agent was lost twice.
    const loads = [createWorkerLoad({ agentId: "a" })];
    const steps = [createBatchStep({ expectedMs: 1_500 })];
    const job = new JobHarness(steps, 10_000, loads);
    job.run.handleEarlierRunsEnded(job.loseStream(0));
    await waitUntil(() => job.sent.length === 2, "the task is sent again");
    await wait(EXPIRY_MS / 2);
    job.loseStream(1);
    await wait(EXPIRY_MS * 0.75);
    expect(job.sent).to.have.length(2);
    await waitUntil(() => job.sent.length === 3, "the task is sent again");
    job.run.cancel();
  });

  it("counts the runs of a lost agent for the limit of tasks per worker", async () => {
    // Guards against more tasks of a step at one worker than the job allows.
    const step = createBatchStep({ count: 2, maxPerWorker: 1 });
    const job = new JobHarness([step]);
    const [first, second] = job.sent as [SentRun, SentRun];
    // Orders the first task again, on another stream than the second one.
    job.streamNumber++;
    job.endRun(0, "returned");
    await waitUntil(
      () => job.sent.length === 3,
      "the first task is sent again",
    );
    expect(job.sent[2]?.agentId).to.equal(first.agentId);
    job.loseStream(2);
    job.endRun(1, "returned");
    await waitUntil(() => job.sent.length === 4, "the other is sent again");
    const { task, agentId } = second;
    expect(job.sent[3]).to.include({ task, agentId });
    job.run.cancel();
  });

  it("does not repeat the runs of a lost agent when another process reports under its name", async () => {
    // Guards against a second run of a task whose agent was replaced elsewhere.
    const job = new JobHarness([createBatchStep()]);
    job.address = "10.0.0.2:1";
    job.run.handleEarlierRunsEnded(job.loseStream(0));
    await wait(50);
    expect(job.sent).to.have.length(1);
    job.run.cancel();
  });

  it("ignores the end of a run at another agent or of an earlier run", async () => {
    const job = new JobHarness([createBatchStep()]);
    const { stream, task } = job.sent[0] as SentRun;
    const end = { task, run: 1, outcome: "done", runMs: 1, detail: "" };
    job.run.handleEnd({ ...stream, agentId: "other", number: 9 }, end);
    job.run.handleEnd(stream, { ...end, run: 0 });
    await wait(0);
    expect(job.answer).to.equal(undefined);
    job.run.cancel();
  });

  it('answers "not run" only when no task can have started', async () => {
    // The outcome of `deadline_unreachable` is "not run", that of `timeout` is
    // "unknown".
    const singleTaskJob = new JobHarness([createBatchStep()]);
    singleTaskJob.endRun(0, "expired");
    const twoTaskJob = new JobHarness([createBatchStep({ count: 2 })]);
    twoTaskJob.endRun(0, "expired");
    await wait(0);
    expect(singleTaskJob.answer).to.deep.equal({
      kind: "error",
      error: "deadline_unreachable",
    });
    expect(twoTaskJob.answer).to.deep.equal({
      kind: "error",
      error: "timeout",
    });
  });

  it("immediately refuses a job that can't end in time, and sends nothing", async () => {
    const step = createBatchStep({ expectedMs: 3_000 });
    const job = new JobHarness([step], 2_000);
    await wait(0);
    expect(job.answer).to.include({ error: "deadline_unreachable" });
    expect(job.sent).to.have.length(0);
  });

  it("refuses at once a job whose answer would be of no use, before its deadline", async () => {
    // Its target is 1.6 * 100 + 60 ms, and four times that is less than the wait.
    const queuedMs = [8_000, 0, 0, 0];
    const loads = ["a", "b"].map((agentId) =>
      createWorkerLoad({
        agentId,
        free: { cpuMillis: 0, memoryMb: 0, gpus: 0 },
        runningLeftMs: [1_000],
        queuedRuns: [8, 0, 0, 0],
        queuedMs,
      })
    );
    const step = createBatchStep({ expectedMs: 100 });
    const job = new JobHarness([step], 60_000, loads);
    await wait(0);
    expect(job.answer).to.include({ error: "deadline_unreachable" });
    expect(job.sent).to.have.length(0);
  });

  it("lets no task start for an answer of no use, but delivers a late one", async () => {
    let now = 0;
    const steps = [createBatchStep({ expectedMs: 10 })];
    const job = new JobHarness(steps, 60_000, undefined, [], () => now);
    expect(job.sentTimesLeftMs).to.deep.equal([4 * (1.6 * 10 + 60)]);
    now = 4 * (1.6 * 10 + 60) + 50;
    await wait(now);
    expect(job.answer).to.equal(undefined);
    job.endRun(0, "done");
    await wait(0);
    expect(job.answer).to.deep.equal({ kind: "completed" });
  });

  it("fails a job that fits on no worker", async () => {
    const resources = { cpuMillis: 99_000, memoryMb: 1, gpus: 0 };
    const job = new JobHarness([createBatchStep({ resources })]);
    await wait(0);
    expect(job.answer).to.deep.equal({ kind: "failed" });
  });

  it("does not fail a job whose workers are away or have shrunk", async () => {
    const away = {
      labels: ["big"],
      capacity: { cpuMillis: 99_000, memoryMb: 99, gpus: 0 },
    };
    const resources = { cpuMillis: 90_000, memoryMb: 1, gpus: 0 };
    const steps = [
      createBatchStep({ resources }),
      createBatchStep({ requiredLabel: "big" }),
      createBatchStep({ count: 3, maxPerWorker: 1 }),
    ];
    for (const step of steps) {
      const offers = [away, away, away];
      const job = new JobHarness([step], 10_000, undefined, offers);
      await wait(0);
      expect(job.answer).to.include({ kind: "error", error: "no_capacity" });
      expect(job.sent).to.have.length(0);
    }
  });

  it("stops its tasks when the client has disconnected", () => {
    const job = new JobHarness([createBatchStep({ count: 2 })]);
    job.run.cancel();
    expect(job.stopped.flatMap(({ tasks }) => tasks)).to.have.length(2);
  });

  it("answers at once when no worker is left that its route may use", async () => {
    const job = new JobHarness([createBatchStep()]);
    job.loads = [];
    job.isConfined = true;
    job.endRun(0, "lost");
    await wait(100);
    expect(job.answer).to.deep.equal({ kind: "error", error: "timeout" });
  });

  describe("with a step that can't end in time any more, before others", () => {
    // Guards against runs of a job that was answered "not run".
    const resources = { cpuMillis: 1_000, memoryMb: 64, gpus: 1 };
    const capacity = { cpuMillis: 32_000, memoryMb: 65_536, gpus: 1 };

    /** Creates a job whose worker with a GPU is busy once its first tasks are sent. */
    function createJob(steps: BatchStep[]): JobHarness {
      const idle = { agentId: "a", capacity, free: capacity };
      const job = new JobHarness(steps, 1_000, [createWorkerLoad(idle)]);
      job.loads = [
        createWorkerLoad({
          ...{ ...idle, runningLeftMs: [5_000] },
          free: { cpuMillis: 0, memoryMb: 0, gpus: 0 },
        }),
        createWorkerLoad({ agentId: "b" }),
      ];
      return job;
    }

    it("sends no task of another step once it is answered", async () => {
      const job = createJob([
        createBatchStep({ resources }),
        createBatchStep(),
      ]);
      expect(job.sent).to.have.length(2);
      job.endRun(0, "declined");
      job.endRun(1, "declined");
      await waitUntil(() => job.answer !== undefined, "the job is answered");
      expect(job.answer).to.include({ error: "deadline_unreachable" });
      expect(job.sent).to.have.length(2);
    });

    it("sends no later step once it is answered", async () => {
      const job = createJob([
        createBatchStep(),
        createBatchStep({ resources, dependsOn: [0] }),
        createBatchStep({ dependsOn: [0] }),
      ]);
      job.endRun(0, "done");
      await wait(0);
      expect(job.answer).to.deep.equal({ kind: "error", error: "timeout" });
      expect(job.sent).to.have.length(1);
    });
  });

  it("places the tasks that agents decline at other workers", async () => {
    const job = new JobHarness([createBatchStep({ count: 2 })]);
    const declined = job.sent.map(({ task }) => task);
    job.loads = [createWorkerLoad({ agentId: "c" }), ...job.loads];
    job.endRun(0, "declined");
    job.endRun(1, "declined");
    // Guards against a frame to each home for each of the tasks.
    expect(job.grantRequests).to.equal(1);
    await waitUntil(() => job.sent.length === 4, "both are sent again");
    const again = job.sent.slice(2);
    expect(again.map(({ task }) => task)).to.have.members(declined);
    expect(again.map(({ agentId }) => agentId))
      .not.to.include(job.sent[0]?.agentId);
    job.run.cancel();
  });

  it("waits for a worker when there is none for a returned run", async () => {
    const job = new JobHarness([createBatchStep()]);
    job.loads = [];
    job.endRun(0, "returned");
    await wait(150);
    expect(job.sent).to.have.length(1);
    job.loads = [createWorkerLoad({ agentId: "c" })];
    await waitUntil(() => job.sent.length === 2, "the task is sent again");
    expect(job.sent[1]?.agentId).to.equal("c");
    job.run.cancel();
  });

  it("does not answer at once when the time limit is longer than a timer can be", async () => {
    // Guards against a route whose jobs all fail because of a large number.
    const job = new JobHarness([createBatchStep()], 1e300);
    await wait(20);
    expect(job.answer).to.equal(undefined);
    job.endRun(0, "done");
    await wait(0);
    expect(job.answer).to.deep.equal({ kind: "completed" });
  });
});
