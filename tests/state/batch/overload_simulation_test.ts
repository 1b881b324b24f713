import { expect } from "chai";
import {
  addTaskToLoad,
  decideAdmission,
  placeTasks,
  type QueuedRun,
  RunQueue,
  type WorkerLoad,
} from "../../../src/state/batch/mod.ts";
import { createBatchStep } from "../../lib/create_batch_step.ts";
import { TestRandom } from "../../lib/test_random.ts";
import { createWorkerLoad } from "../../lib/create_worker_load.ts";

/** Kinds of jobs of two users, with their arrivals per second at full load. */
const JOB_KINDS = [
  { priority: 0, tasks: 8, runMs: 86, perSecond: 32 },
  { priority: 2, tasks: 4, runMs: 1_286, perSecond: 6 },
  { priority: 1, tasks: 2, runMs: 286, perSecond: 93 },
];
const SLOWDOWNS = [0.6, 0.6, 0.6, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.7, 1.7];
const ENTRY_COUNT = 3;
const REPORT_INTERVAL_MS = 24;
const ARRIVAL_PERIOD_MS = 12_000;
const STRETCH = 1.6;
const LATENCY_TARGET_MS = 60;
const JOB_TIMEOUT_MS = 3_000;

/** Multiple of the latency target up to which an answer is of use. */
const MAX_LATENESS = 3;

interface Job {
  arrivedAt: number;
  remainingTasks: number;
  latencyTargetAt: number;
  deadlineAt: number;
  /** Time until which an answer is of use to the caller. */
  usefulUntil: number;
  endedAt: number | undefined;
  isRefused: boolean;
}

interface Run extends QueuedRun {
  job: Job;
}

interface Worker {
  load: WorkerLoad;
  queue: RunQueue<Run>;
  running: { run: Run; endsAt: number }[];
}

/** `product` is the policy of this dispatcher. */
type Policy = "product" | "naive";

/**
 * Simulates arrivals at workers of different speeds, in steps of a millisecond.
 * The naive policy sends each task to the worker with the most free CPU, runs
 * tasks in order of arrival and refuses no job.
 */
function simulate(policy: Policy, loadFactor: number) {
  const random = new TestRandom(7);
  const jobs: Job[] = [];
  const workers = SLOWDOWNS.map((slowdown, n): Worker => ({
    load: createWorkerLoad({
      agentId: String(n),
      slowdown,
      ownSlotShare: 1 / ENTRY_COUNT,
    }),
    queue: new RunQueue<Run>(),
    running: [],
  }));
  const views = Array.from(
    { length: ENTRY_COUNT },
    () => workers.map(({ load }) => load),
  );
  for (let now = 0; now < ARRIVAL_PERIOD_MS + JOB_TIMEOUT_MS; now++) {
    for (const worker of workers) {
      advanceWorker(worker, now, policy);
    }
    if (now % REPORT_INTERVAL_MS === 0) {
      views.forEach((_, entry) => views[entry] = workers.map(createReport));
    }
    for (const kind of now < ARRIVAL_PERIOD_MS ? JOB_KINDS : []) {
      if (random.getInt(0, 999_999) < kind.perSecond * loadFactor * 1_000) {
        const entry = random.getInt(0, ENTRY_COUNT - 1);
        jobs.push(submitJob(kind, now, views[entry] as WorkerLoad[]));
      }
    }
  }
  return summarize(jobs);

  function submitJob(
    kind: (typeof JOB_KINDS)[number],
    now: number,
    view: WorkerLoad[],
  ): Job {
    const job: Job = {
      arrivedAt: now,
      remainingTasks: kind.tasks,
      latencyTargetAt: now + STRETCH * kind.runMs + LATENCY_TARGET_MS,
      deadlineAt: now + JOB_TIMEOUT_MS,
      usefulUntil: now + Math.min(
        JOB_TIMEOUT_MS,
        MAX_LATENESS * (STRETCH * kind.runMs + LATENCY_TARGET_MS),
      ),
      endedAt: undefined,
      isRefused: false,
    };
    const step = createBatchStep({ count: kind.tasks, expectedMs: kind.runMs });
    for (const agentId of selectAgents(kind, view, job)) {
      const worker = workers[Number(agentId)] as Worker;
      worker.queue.add({
        task: "t",
        job,
        resources: step.resources,
        priority: policy === "naive" ? 0 : kind.priority,
        expectedMs: kind.runMs,
        arrivedAt: now,
        deadlineAt: policy === "naive" ? Infinity : job.usefulUntil,
        latencyTargetAt: policy === "naive" ? Infinity : job.latencyTargetAt,
      });
      const viewIndex = view.findIndex((load) => load.agentId === agentId);
      const task = { ...step, priority: kind.priority };
      view[viewIndex] = addTaskToLoad(view[viewIndex] as WorkerLoad, task);
    }
    return job;
  }

  function selectAgents(
    kind: (typeof JOB_KINDS)[number],
    view: WorkerLoad[],
    job: Job,
  ): string[] {
    const step = createBatchStep({ count: kind.tasks, expectedMs: kind.runMs });
    const indexes = Array.from({ length: kind.tasks }, (_, index) => index);
    if (policy === "naive") {
      const byRoom = [...view].sort((a, b) =>
        b.free.cpuMillis - a.free.cpuMillis
      );
      return indexes.map((n) => byRoom[n % byRoom.length]?.agentId ?? "0");
    }
    const placements = placeTasks({
      step,
      indexes,
      priority: kind.priority,
      loads: view,
      getRandom: () => random.getInt(0, 999) / 1_000,
    });
    const decision = decideAdmission({
      taskCount: kind.tasks,
      placements,
      hasWorkers: true,
      timeLeftMs: job.usefulUntil - job.arrivedAt,
    });
    job.isRefused = decision.kind === "refused";
    return job.isRefused ? [] : placements.map(({ agentId }) => agentId);
  }
}

/** Ends the runs that are due at `now`, and starts those that fit. */
function advanceWorker(worker: Worker, now: number, policy: Policy): void {
  const { slowdown, capacity } = worker.load;
  for (const { run, endsAt } of worker.running) {
    if (endsAt <= now && --run.job.remainingTasks === 0) {
      run.job.endedAt = now;
    }
  }
  worker.running = worker.running.filter(({ endsAt }) => endsAt > now);
  const takeOptions = { now, slowdown };
  if (policy === "product") {
    worker.queue.takeExpired(takeOptions);
  }
  for (;;) {
    const usedCpu = worker.running.length * 2_000;
    const free = { ...capacity, cpuMillis: capacity.cpuMillis - usedCpu };
    const run = worker.queue.takeNext(free, takeOptions);
    worker.load = { ...worker.load, free };
    if (run === undefined) {
      return;
    }
    const endsAt = now + run.expectedMs * slowdown;
    worker.running.push({ run, endsAt });
  }
}

function createReport(worker: Worker): WorkerLoad {
  const { runs, expectedMs } = worker.queue.getBacklog();
  const { slowdown } = worker.load;
  worker.load = {
    ...worker.load,
    queuedRuns: runs,
    queuedMs: expectedMs.map((ms) => ms * slowdown),
    runningLeftMs: worker.running.map(({ run }) =>
      run.expectedMs * slowdown / 2
    ),
  };
  return worker.load;
}

function summarize(jobs: Job[]) {
  const isInTime = ({ endedAt, latencyTargetAt }: Job) =>
    endedAt !== undefined && endedAt <= latencyTargetAt;
  const isServed = ({ endedAt, usefulUntil }: Job) =>
    endedAt !== undefined && endedAt <= usefulUntil;
  const inTime = jobs.filter(isInTime).length / jobs.length;
  const served = jobs.filter(isServed).length / jobs.length;
  const refused = jobs.filter(({ isRefused }) => isRefused).length /
    jobs.length;
  return { jobs: jobs.length, inTime, late: served - inTime, refused };
}

describe("placement, queueing and admission under load", () => {
  for (const loadFactor of [0.5, 0.85, 1.3]) {
    it(`completes more in time than a naive policy, load ${loadFactor}`, () => {
      const naive = simulate("naive", loadFactor);
      const product = simulate("product", loadFactor);
      console.log(
        `      load ${loadFactor}: ${JSON.stringify({ naive, product })}`,
      );
      expect(product.inTime).to.be.greaterThan(naive.inTime);
      expect(product.inTime + product.late)
        .to.be.at.least(naive.inTime + naive.late);
    });
  }

  it("completes nearly all jobs in time at half load", () => {
    expect(simulate("product", 0.5).inTime).to.be.greaterThan(0.97);
  });
});
