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

/** Kinds of jobs of the two users, with arrivals a second at full load. */
const KINDS = [
  { priority: 0, tasks: 8, runMs: 86, perSecond: 32 },
  { priority: 2, tasks: 4, runMs: 1_286, perSecond: 6 },
  { priority: 1, tasks: 2, runMs: 286, perSecond: 93 },
];
const SLOWDOWNS = [0.6, 0.6, 0.6, 1.5, 1.5, 1.5, 1.5, 1.5, 1.5, 1.7, 1.7];
const ENTRIES = 3;
const REPORT_MS = 24;
const PLAY_MS = 12_000;
const STRETCH = 1.6;
const TARGET_MS = 60;
const ANSWER_MS = 3_000;

interface Job {
  arrivedAt: number;
  left: number;
  targetBy: number;
  answerBy: number;
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

type Policy = "product" | "naive";

/**
 * Plays arrivals against workers of unlike speed, in steps of a millisecond.
 * The naive policy sends each task to the worker with the most room, serves in
 * order of arrival and refuses nothing.
 */
function play(policy: Policy, share: number) {
  const random = new TestRandom(7);
  const jobs: Job[] = [];
  const workers = SLOWDOWNS.map((slowdown, n): Worker => ({
    load: createWorkerLoad({
      agentId: String(n),
      slowdown,
      ownShare: 1 / ENTRIES,
    }),
    queue: new RunQueue<Run>(),
    running: [],
  }));
  const views = Array.from(
    { length: ENTRIES },
    () => workers.map(({ load }) => load),
  );
  for (let now = 0; now < PLAY_MS + ANSWER_MS; now++) {
    for (const worker of workers) {
      advance(worker, now, policy);
    }
    if (now % REPORT_MS === 0) {
      views.forEach((_, entry) => views[entry] = workers.map(createReport));
    }
    for (const kind of now < PLAY_MS ? KINDS : []) {
      if (random.getInt(0, 999_999) < kind.perSecond * share * 1_000) {
        const entry = random.getInt(0, ENTRIES - 1);
        jobs.push(submit(kind, now, views[entry] as WorkerLoad[]));
      }
    }
  }
  return summarize(jobs);

  function submit(
    kind: (typeof KINDS)[number],
    now: number,
    view: WorkerLoad[],
  ): Job {
    const job: Job = {
      arrivedAt: now,
      left: kind.tasks,
      targetBy: now + STRETCH * kind.runMs + TARGET_MS,
      answerBy: now + ANSWER_MS,
      endedAt: undefined,
      isRefused: false,
    };
    const step = createBatchStep({ count: kind.tasks, expectedMs: kind.runMs });
    for (const agentId of select(kind, view, job)) {
      const worker = workers[Number(agentId)] as Worker;
      worker.queue.add({
        task: "t",
        job,
        resources: step.resources,
        priority: policy === "naive" ? 0 : kind.priority,
        expectedMs: kind.runMs,
        arrivedAt: now,
        deadlineAt: policy === "naive" ? Infinity : job.answerBy,
        latencyTargetAt: policy === "naive" ? Infinity : job.targetBy,
      });
      const at = view.findIndex((load) => load.agentId === agentId);
      const task = { ...step, priority: kind.priority };
      view[at] = addTaskToLoad(view[at] as WorkerLoad, task);
    }
    return job;
  }

  function select(
    kind: (typeof KINDS)[number],
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
      timeLeftMs: ANSWER_MS,
    });
    job.isRefused = decision.kind === "refused";
    return job.isRefused ? [] : placements.map(({ agentId }) => agentId);
  }
}

/** Ends and starts runs of a worker. */
function advance(worker: Worker, now: number, policy: Policy): void {
  const { slowdown, capacity } = worker.load;
  for (const { run, endsAt } of worker.running) {
    if (endsAt <= now && --run.job.left === 0) {
      run.job.endedAt = now;
    }
  }
  worker.running = worker.running.filter(({ endsAt }) => endsAt > now);
  const pace = { now, slowdown };
  if (policy === "product") {
    worker.queue.takeExpired(pace);
  }
  for (;;) {
    const usedCpu = worker.running.length * 2_000;
    const free = { ...capacity, cpuMillis: capacity.cpuMillis - usedCpu };
    const run = worker.queue.takeNext(free, pace);
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
  const isInTime = ({ endedAt, targetBy }: Job) =>
    endedAt !== undefined && endedAt <= targetBy;
  const isServed = ({ endedAt, answerBy }: Job) =>
    endedAt !== undefined && endedAt <= answerBy;
  const inTime = jobs.filter(isInTime).length / jobs.length;
  const served = jobs.filter(isServed).length / jobs.length;
  const refused = jobs.filter(({ isRefused }) => isRefused).length /
    jobs.length;
  return { jobs: jobs.length, inTime, late: served - inTime, refused };
}

describe("placing, queueing and refusing under load", () => {
  for (const share of [0.5, 0.85, 1.3]) {
    it(`serves more in time than the naive policy at load ${share}`, () => {
      const naive = play("naive", share);
      const product = play("product", share);
      console.log(`      load ${share}: ${JSON.stringify({ naive, product })}`);
      expect(product.inTime).to.be.greaterThan(naive.inTime);
      expect(product.inTime + product.late)
        .to.be.at.least(naive.inTime + naive.late);
    });
  }

  it("serves nearly all in time at half load", () => {
    expect(play("product", 0.5).inTime).to.be.greaterThan(0.97);
  });
});
