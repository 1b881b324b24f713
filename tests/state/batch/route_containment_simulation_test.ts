import { expect } from "chai";
import {
  addTaskToLoad,
  CrashHistory,
  decideAdmission,
  placeTasks,
  RouteContainment,
  SAME_POINT_TOLERANCE_MS,
  type WorkerLoad,
} from "../../../src/state/batch/mod.ts";
import { createBatchStep } from "../../lib/create_batch_step.ts";
import { createWorkerLoad } from "../../lib/create_worker_load.ts";
import { TestRandom } from "../../lib/test_random.ts";

/** Kinds of jobs at half load; a tenth of the first have a crashing task. */
const JOB_KINDS = [
  { route: "crashing", tasks: 8, runMs: 86, perSecond: 24, crashShare: 0.1 },
  { route: "long", tasks: 4, runMs: 1_286, perSecond: 4.4, crashShare: 0 },
  { route: "short", tasks: 2, runMs: 286, perSecond: 70, crashShare: 0 },
] as const;

const WORKER_COUNT = 11;
const SLOTS = 10;
const ARRIVAL_PERIOD_MS = 10_000;
const JOB_TIMEOUT_MS = 2_400;
const CRASH_DELAY_MS = 50;
/** Time from a crash until the entries know of it. */
const DETECTION_MS = 40;
const RESTART_MS = 3_300;

/** `product` gives tasks up and confines routes, `budget` only gives up. */
type Policy = "product" | "budget" | "naive";

interface Job {
  readonly id: number;
  readonly kind: (typeof JOB_KINDS)[number];
  readonly crashes: boolean;
  readonly deadlineAt: number;
  remaining: number;
  isDone: boolean;
  isEnded: boolean;
}

interface Task {
  readonly job: Job;
  readonly name: string;
  readonly crashesWorker: boolean;
}

interface Run {
  readonly task: Task;
  readonly isSuspect: boolean;
  startedAt: number;
  endsAt: number;
}

interface Worker {
  readonly agentId: string;
  running: Run[];
  queued: Run[];
  upAt: number;
}

/**
 * Simulates one entry and its workers in steps of a millisecond. A crashing
 * task takes its worker and all runs on it down; the entry learns of it and
 * places them again.
 */
function simulate(policy: Policy) {
  const random = new TestRandom(11);
  const history = new CrashHistory();
  const containment = new RouteContainment();
  const jobs: Job[] = [];
  const workers = Array.from({ length: WORKER_COUNT }, (_, n): Worker => ({
    agentId: String(n),
    running: [],
    queued: [],
    upAt: 0,
  }));
  const retries: { at: number; task: Task }[] = [];
  const reports: { at: number; report: () => void }[] = [];
  let crashes = 0;
  let now = 0;
  for (; now < ARRIVAL_PERIOD_MS + JOB_TIMEOUT_MS; now++) {
    workers.forEach(advanceWorker);
    takeDue(reports).forEach(({ report }) => report());
    takeDue(retries).forEach(({ task }) => {
      if (!task.job.isEnded) {
        placeAll(task.job, [task]);
      }
    });
    jobs.forEach((job) => job.isEnded ||= now >= job.deadlineAt);
    for (const kind of now < ARRIVAL_PERIOD_MS ? JOB_KINDS : []) {
      if (random.getInt(0, 999_999) < kind.perSecond * 1_000) {
        submitJob(kind);
      }
    }
  }
  return {
    crashes,
    served: Object.fromEntries(JOB_KINDS.map(({ route }) => {
      const sound = jobs.filter(({ kind, crashes }) =>
        kind.route === route && !crashes
      );
      return [
        route,
        sound.filter(({ isDone }) => isDone).length / sound.length,
      ];
    })),
  };

  function takeDue<T extends { at: number }>(items: T[]): T[] {
    const due = items.filter(({ at }) => at <= now);
    items.splice(0, items.length, ...items.filter(({ at }) => at > now));
    return due;
  }

  function submitJob(kind: Job["kind"]): void {
    const job: Job = {
      id: jobs.length,
      kind,
      crashes: random.getInt(0, 999) < kind.crashShare * 1_000,
      deadlineAt: now + JOB_TIMEOUT_MS,
      remaining: kind.tasks,
      isDone: false,
      isEnded: false,
    };
    jobs.push(job);
    const tasks = Array.from({ length: kind.tasks }, (_, index): Task => ({
      job,
      name: `${job.id}.${index}`,
      crashesWorker: job.crashes && index === 0,
    }));
    if (!placeAll(job, tasks)) {
      job.isEnded = true;
    }
  }

  function getLoads(route: string): readonly WorkerLoad[] {
    const loads = workers.filter(({ upAt }) => upAt <= now).map(createLoad);
    return policy === "product"
      ? containment.filterLoads(route, loads, now)
      : loads;
  }

  function placeAll(job: Job, tasks: Task[]): boolean {
    const { kind } = job;
    const step = createBatchStep({
      count: kind.tasks,
      expectedMs: kind.runMs,
      resources: { cpuMillis: 1_600, memoryMb: 1, gpus: 0 },
    });
    const loads = getLoads(kind.route);
    const suspects = loads.filter(({ suspectRuns }) => suspectRuns > 0)
      .map(({ agentId }) => agentId);
    const placements = placeTasks({
      step,
      indexes: tasks.map((_, index) => index),
      priority: 0,
      loads,
      avoidedAgents: new Map(tasks.map((task, index) => [
        index,
        new Set(isSuspect(task) ? suspects : []),
      ])),
      getRandom: () => random.getInt(0, 999) / 1_000,
    });
    const decision = decideAdmission({
      taskCount: tasks.length,
      placements,
      hasWorkers: loads.length > 0,
      timeLeftMs: job.deadlineAt - now,
    });
    if (decision.kind === "refused") {
      return false;
    }
    for (const { index, agentId } of placements) {
      const task = tasks[index] as Task;
      workers[Number(agentId)]?.queued.push({
        task,
        isSuspect: isSuspect(task),
        startedAt: Infinity,
        endsAt: Infinity,
      });
    }
    return true;
  }

  function isSuspect(task: Task): boolean {
    return policy !== "naive" && history.getCount(task.name) > 0;
  }

  function advanceWorker(worker: Worker): void {
    for (const run of worker.running.filter(({ endsAt }) => endsAt <= now)) {
      if (run.task.crashesWorker) {
        crashWorker(worker);
        return;
      }
      worker.running.splice(worker.running.indexOf(run), 1);
      const { job } = run.task;
      job.remaining--;
      job.isDone ||= job.remaining === 0 && !job.isEnded;
      job.isEnded ||= job.isDone;
    }
    const isSamePoint = (run: Run) =>
      worker.running.some((other) =>
        other.isSuspect &&
        Math.abs(
            other.startedAt + getCrashPointMs(other) - now -
              getCrashPointMs(run),
          ) < 2 * SAME_POINT_TOLERANCE_MS
      );
    for (const run of [...worker.queued]) {
      const mustWait = run.isSuspect && isSamePoint(run);
      if (worker.running.length < SLOTS && !mustWait) {
        worker.queued.splice(worker.queued.indexOf(run), 1);
        const { crashesWorker, job } = run.task;
        run.startedAt = now;
        run.endsAt = now + (crashesWorker ? CRASH_DELAY_MS : job.kind.runMs);
        if (!job.isEnded) {
          worker.running.push(run);
        }
      }
    }
  }

  function getCrashPointMs({ task }: Run): number {
    return history.getLatestRunTimeMs(task.name);
  }

  function crashWorker(worker: Worker): void {
    crashes++;
    const { running, queued, agentId } = worker;
    worker.running = [];
    worker.queued = [];
    worker.upAt = now + RESTART_MS;
    const crash = {
      id: String(crashes),
      agentId,
      at: now,
      runs: running.map(({ task, startedAt }) => ({
        task: task.name,
        route: task.job.kind.route,
        ranMs: now - startedAt,
        hasStarted: true,
        earlierCrashes: history.getCount(task.name),
      })),
    };
    reports.push({
      at: now + DETECTION_MS,
      report: () => {
        history.record(crash);
        containment.record({
          ...{ crash, history, agentCount: WORKER_COUNT },
          sharesWorkers: () => true,
        });
        for (const { task } of [...running, ...queued]) {
          if (
            policy !== "naive" && history.getVerdict(task.name) !== "may_start"
          ) {
            task.job.isEnded = true;
          }
          retries.push({ at: now + 1, task });
        }
      },
    });
  }

  function createLoad(worker: Worker): WorkerLoad {
    const { agentId, running, queued } = worker;
    let load = createWorkerLoad({
      agentId,
      runningLeftMs: running.map(({ endsAt }) => endsAt - now),
      suspectRuns: running.filter((run) => run.isSuspect).length,
      free: {
        cpuMillis: 1_600 * (SLOTS - running.length),
        memoryMb: 1_000,
        gpus: 0,
      },
    });
    for (const { task, isSuspect } of queued) {
      load = addTaskToLoad(load, {
        resources: { cpuMillis: 1_600, memoryMb: 1, gpus: 0 },
        expectedMs: task.job.kind.runMs,
        priority: 0,
        isSuspect,
      });
    }
    return load;
  }
}

describe("requests of one route that crash worker after worker", () => {
  it("leave the other routes served", () => {
    const [naive, budget, product] = (["naive", "budget", "product"] as const)
      .map(simulate);
    console.log(`      ${JSON.stringify({ naive, budget, product })}`);
    for (const route of ["long", "short"]) {
      expect(product?.served[route]).to.be.greaterThan(0.8);
      expect(product?.served[route]).to.be.greaterThan(
        budget?.served[route] as number,
      );
    }
    expect(product?.crashes).to.be.lessThan(naive?.crashes as number);
  });
});
