import {
  addTaskToLoad,
  decideAdmission,
  decideQueueing,
  DeclinePolicy,
  estimateStartMs,
  type PlacedTask,
  placeTasks,
  type QueuedRun,
  RunQueue,
  SlowdownEstimate,
  WaitForecast,
  type WorkerLoad,
} from "../../src/state/batch/mod.ts";
import { createBatchStep } from "./create_batch_step.ts";
import { placeGroupByPolicy } from "./place_group_by_policy.ts";
import { createWorkerLoad } from "./create_worker_load.ts";
import { TestRandom } from "./test_random.ts";

/** Kinds of jobs, with their arrivals per second for six workers at full load. */
const KINDS = [
  { priority: 0, tasks: 8, runMs: 60, perSecond: 17 },
  { priority: 2, tasks: 4, runMs: 900, perSecond: 3 },
  { priority: 1, tasks: 2, runMs: 200, perSecond: 50 },
];
const WORKER_COUNT = 24;
const LOADED_RACKS = WORKER_COUNT / 6;
const SLOWDOWNS = [0.7, 0.7, 1.7];
const ENTRY_COUNT = 5;
const REPORT_INTERVAL_MS = 24;
const REPORT_DELAY_MS = 4;
/** Time in which an end reaches the entry, and its next order an agent. */
const ROUND_TRIP_MS = 8;
const HOT = { fromMs: 1_500, toMs: 6_000 };
const ARRIVAL_PERIOD_MS = 6_500;
const STRETCH = 1.6;
const LATENCY_TARGET_MS = 60;
const MAX_LATENESS = 3;

/**
 * `fixed` weighs waits by a fixed factor. `never` goes far unless there is room
 * near the data at once, `always` never goes far. `informed` knows the load without
 * delay, and no task of it ever runs far: a bound of what waits can gain.
 */
export type PlacePolicy = "decided" | "fixed" | "never" | "always" | "informed";

export interface RackLoadOptions {
  policy: PlacePolicy;
  loadFactor: number;
  farFactor: number;
  /** Share of the urgent jobs that name the same rack for some seconds. */
  hotShare: number;
  /** Number of workers that this rack has; the others have more. */
  hotWorkers?: number;
  seed: number;
  /** Number of workers on each rack; 6 by default. */
  workersPerRack?: number;
  /**
   * Number of tasks of an urgent job if they share a rack; by default they name one.
   * The load is the same for each number.
   */
  groupTasks?: number;
  /** Factor by which a sixth of the workers turns slower for some seconds. */
  slowFactor?: number;
  /** Share of the tasks that take seven times as long. */
  longShare?: number;
  /** Spread of the factor by which all tasks of a job differ from the declared time. */
  declaredSpread?: number;
  /** Whether the speed of workers is learned as a plain mean of their runs. */
  learnsMean?: boolean;
}

export interface RackLoadResult {
  /** Share of the jobs of the hot seconds that met their target, by priority. */
  inTime: number[];
  /** Share of all jobs that met their target. */
  all: number;
  /** Share of the runs with a rack that were sent away from it. */
  farShare: number;
  handedBack: number;
}

interface Job {
  id: string;
  kind: (typeof KINDS)[number];
  arrivedAt: number;
  remainingTasks: number;
  targetAt: number;
  usefulUntil: number;
  endedAt?: number;
  isLost: boolean;
  /** Those of its tasks that have been placed and not ended, by index. */
  placed: Map<number, { rack: string; endsAt: number }>;
}

interface PlainRun extends Pick<QueuedRun, "task" | "resources"> {
  job: Job;
  entry: number;
  index: number;
  rack: string | undefined;
  /** Run time on a worker of average speed, as it turns out. */
  actualMs: number;
  /** Agents that have handed the run back. */
  declines: Set<string>;
}

interface Run extends PlainRun, QueuedRun {
  placed: PlacedTask;
  canBeDeclined: boolean;
}

interface Execution {
  run: Run;
  startedAt: number;
  endsAt: number;
  /** Whether it runs longer since its group is on several racks. */
  isSpread: boolean;
}

interface Worker {
  load: WorkerLoad;
  speed: number;
  queue: RunQueue<Run>;
  running: Execution[];
  slowdown: Pick<SlowdownEstimate, "value" | "mean" | "record">;
}

/** A moving mean, which a few long runs don't change much. */
class MeanSlowdown {
  #logMean = 0;

  get mean(): number {
    return Math.exp(this.#logMean);
  }

  get value(): number {
    return this.mean;
  }

  record(_job: string, runMs: number, expectedMs: number): void {
    this.#logMean += 0.06 * (Math.log(runMs / expectedMs) - this.#logMean);
  }
}

/**
 * Plays a load in steps of a millisecond in which much of the urgent work wants one
 * rack for some seconds. Entries know the workers by reports that are some
 * milliseconds old; the decisions are those of the product.
 */
export function simulateRackLoad(options: RackLoadOptions): RackLoadResult {
  const simulation = new RackLoadSimulation(options);
  return simulation.run();
}

class RackLoadSimulation {
  readonly #options: RackLoadOptions;
  readonly #random: TestRandom;
  readonly #jobs: Job[] = [];
  readonly #workers: Worker[];
  readonly #views: WorkerLoad[][];
  readonly #forecasts = createEach(ENTRY_COUNT, () => new WaitForecast());
  readonly #declinePolicies = createEach(
    ENTRY_COUNT,
    () => new DeclinePolicy({ getRandom: () => this.#getRandom() }),
  );
  readonly #events = new Map<number, (() => void)[]>();
  readonly #counts = { near: 0, far: 0, handedBack: 0 };
  #now = 0;

  constructor(options: RackLoadOptions) {
    this.#options = options;
    this.#random = new TestRandom(options.seed);
    this.#workers = createEach(WORKER_COUNT, (n) => {
      const rack = `rack-${Math.floor(n / this.#workersPerRack)}`;
      const speed = SLOWDOWNS[n % SLOWDOWNS.length] as number;
      return {
        load: createWorkerLoad({
          agentId: String(n),
          ...{ labels: [rack], rack },
          ownSlotShare: 1 / this.#entryCount,
          slowdown: speed,
        }),
        speed,
        queue: new RunQueue<Run>(),
        running: [],
        slowdown: options.learnsMean === true
          ? new MeanSlowdown()
          : new SlowdownEstimate({ getTime: () => this.#now }),
      };
    });
    for (const { slowdown, speed } of this.#workers) {
      createEach(50, () => slowdown.record("", 100 * speed, 100));
    }
    const { hotWorkers = this.#workersPerRack } = options;
    this.#workers.splice(0, this.#workersPerRack - hotWorkers);
    const loads = this.#workers.map(({ load }) => load);
    this.#views = createEach(ENTRY_COUNT, () => [...loads]);
  }

  get #isInformed(): boolean {
    return this.#options.policy === "informed";
  }

  get #workersPerRack(): number {
    return this.#options.workersPerRack ?? 6;
  }

  get #rackCount(): number {
    return WORKER_COUNT / this.#workersPerRack;
  }

  get #entryCount(): number {
    return this.#isInformed ? 1 : ENTRY_COUNT;
  }

  run(): RackLoadResult {
    const { loadFactor, groupTasks } = this.#options;
    const kinds = KINDS.map((kind) =>
      kind.priority > 0 || groupTasks === undefined ? kind : {
        ...{ ...kind, tasks: groupTasks },
        perSecond: kind.perSecond * kind.tasks / groupTasks,
      }
    );
    for (; this.#now < ARRIVAL_PERIOD_MS + 4_000; this.#now++) {
      this.#events.get(this.#now)?.forEach((handle) => handle());
      this.#events.delete(this.#now);
      this.#workers.forEach((worker, n) => {
        this.#advance(worker);
        if ((this.#now + n) % REPORT_INTERVAL_MS === 0) {
          this.#sendReport(worker, n);
        }
      });
      for (const kind of this.#now < ARRIVAL_PERIOD_MS ? kinds : []) {
        const perSecond = kind.perSecond * LOADED_RACKS * loadFactor;
        if (this.#getRandom() * 1_000 < perSecond) {
          this.#submit(kind);
        }
      }
    }
    return this.#summarize();
  }

  #submit(kind: Job["kind"]): void {
    const now = this.#now;
    const targetMs = STRETCH * kind.runMs + LATENCY_TARGET_MS;
    const job: Job = {
      id: String(this.#jobs.length),
      kind,
      arrivedAt: now,
      remainingTasks: kind.tasks,
      targetAt: now + targetMs,
      usefulUntil: now + MAX_LATENESS * targetMs,
      isLost: false,
      placed: new Map(),
    };
    this.#jobs.push(job);
    const entry = this.#random.getInt(0, this.#entryCount - 1);
    const isHot = now >= HOT.fromMs && now < HOT.toMs &&
      this.#getRandom() < this.#options.hotShare;
    const rack = kind.priority > 0 || this.#options.groupTasks !== undefined
      ? undefined
      : `rack-${isHot ? 0 : this.#random.getInt(0, this.#rackCount - 1)}`;
    const spread = this.#options.declaredSpread ?? 0;
    const jobFactor = Math.exp(spread * (this.#getRandom() - 0.5));
    const runs = createEach(kind.tasks, (index) => ({
      ...{ task: "t", job, entry, index, rack, declines: new Set<string>() },
      resources: createBatchStep().resources,
      actualMs: jobFactor * kind.runMs *
        Math.exp(0.6 * (this.#getRandom() - 0.5)) *
        (this.#getRandom() < (this.#options.longShare ?? 0) ? 7 : 1),
    }));
    this.#place(runs);
  }

  #place(runs: PlainRun[]): void {
    const [{ job, entry, rack }] = runs as [PlainRun];
    const { policy, farFactor } = this.#options;
    const now = this.#now;
    const view = this.#isInformed
      ? this.#workers.map((worker) => this.#createReport(worker))
      : this.#views[entry] as WorkerLoad[];
    const step = createBatchStep({
      expectedMs: job.kind.runMs,
      preferredRack: rack,
      sharesRack: this.#isGroup(job),
    });
    const declinedAgents = new Map(
      runs.map((run) => [run.index, run.declines]),
    );
    const placeOptions = {
      step,
      indexes: runs.map(({ index }) => index),
      priority: job.kind.priority,
      loads: rack === undefined ? view : this.#getCandidates(view, rack),
      avoidedAgents: declinedAgents,
      farFactor: this.#isInformed ? 1 : farFactor,
      targetLeftMs: job.targetAt - now,
      getRandom: () => this.#getRandom(),
    };
    const waitForecast = this.#forecasts[entry] as WaitForecast;
    const placed = [...job.placed.values()];
    const leftMs = placed.map(({ endsAt }) => Math.max(0, endsAt - now));
    const placedGroup = {
      racks: new Set(placed.map((other) => other.rack)),
      leftMs: Math.max(0, ...leftMs),
      totalLeftMs: leftMs.reduce((sum, ms) => sum + ms, 0),
    };
    const placements = step.sharesRack
      ? placeGroupByPolicy(policy, {
        ...{ ...placeOptions, waitForecast, placedGroup, declinedAgents },
      })
      : placeTasks({
        ...placeOptions,
        waitForecast: policy === "decided" ? waitForecast : undefined,
      });
    const decision = decideAdmission({
      taskCount: runs.length,
      placements,
      hasWorkers: true,
      timeLeftMs: job.usefulUntil - now,
    });
    if (job.isLost || decision.kind === "refused") {
      job.isLost = true;
      return;
    }
    for (const placed of placements) {
      const run = runs.find(({ index }) => index === placed.index) as PlainRun;
      this.#send(run, placed, view);
    }
  }

  /** Gets the workers that a policy without a decision leaves for a task. */
  #getCandidates(view: WorkerLoad[], rack: string): WorkerLoad[] {
    const near = view.filter(({ labels }) => labels.includes(rack));
    const hasRoom = near.some(({ free }) => free.cpuMillis >= 2_000);
    switch (this.#options.policy) {
      case "always":
        return near;
      case "never":
        return hasRoom ? view : view.filter((load) => !near.includes(load));
      default:
        return view;
    }
  }

  #send(run: PlainRun, placed: PlacedTask, view: WorkerLoad[]): void {
    const { job, entry, resources, rack } = run;
    const { policy, farFactor } = this.#options;
    const { priority, runMs } = job.kind;
    const now = this.#now;
    const isAway = placed.isFar || placed.group?.kind === "spread";
    if (rack !== undefined || placed.group !== undefined) {
      this.#counts[isAway ? "far" : "near"]++;
    }
    // Before the decision, agents weren't told that a run takes longer there.
    const isTold = isAway && policy === "decided";
    const expectedMs = runMs * (isTold ? farFactor : 1);
    const n = view.findIndex(({ agentId }) => agentId === placed.agentId);
    view[n] = addTaskToLoad(view[n] as WorkerLoad, {
      ...{ resources, expectedMs, priority },
    });
    const { rack: placedRack } = view[n] as WorkerLoad;
    job.placed.set(run.index, {
      rack: placedRack,
      endsAt: now + placed.endMs,
    });
    const canBeDeclined = !this.#isInformed && job.targetAt - now > runMs &&
      (this.#declinePolicies[entry] as DeclinePolicy).canBeDeclined(
        run.declines.size,
      );
    const { place } = placed;
    this.#startEvent(
      this.#isInformed ? 0 : 1,
      () =>
        this.#add(this.#workers[n] as Worker, {
          ...{ ...run, placed, priority, expectedMs, canBeDeclined },
          arrivedAt: this.#now,
          recheckAt: place?.kind === "wait" && canBeDeclined
            ? now + place.recheckAfterMs
            : Infinity,
          deadlineAt: job.usefulUntil,
          latencyTargetAt: job.targetAt,
        }),
    );
  }

  /** Queues a run at an agent, or hands it back. */
  #add(worker: Worker, run: Run): void {
    if (this.#isLate(worker, run)) {
      this.#handBack(worker, run);
    } else {
      worker.queue.add(run);
    }
  }

  #isLate(worker: Worker, run: Run): boolean {
    const slowdown = worker.slowdown.value;
    const { runs } = worker.queue;
    const index = runs.indexOf(run);
    const startMs = estimateStartMs({
      free: getFree(worker),
      running: worker.running.map(({ run: other, startedAt }) => ({
        resources: other.resources,
        forMs: this.#getLeftMs(worker, other, startedAt),
      })),
      queued: runs.slice(0, index < 0 ? runs.length : index)
        .filter(({ priority }) => priority <= run.priority)
        .map(({ resources, expectedMs }) => ({
          resources,
          forMs: expectedMs * slowdown,
        })),
      resources: run.resources,
    });
    const { kind } = decideQueueing({
      startMs,
      runMs: run.expectedMs * slowdown,
      targetLeftMs: run.latencyTargetAt - this.#now,
      canBeDeclined: run.canBeDeclined,
    });
    return kind === "declined";
  }

  #getLeftMs(worker: Worker, run: Run, startedAt: number): number {
    const totalMs = run.expectedMs * worker.slowdown.value;
    return Math.max(0.15 * totalMs, startedAt + totalMs - this.#now);
  }

  #handBack(worker: Worker, run: Run): void {
    this.#counts.handedBack++;
    this.#recordEnd(run, true);
    run.declines.add(worker.load.agentId);
    run.job.placed.delete(run.index);
    this.#startEvent(ROUND_TRIP_MS, () => this.#place([run]));
  }

  #recordEnd(run: Run, isDeclined: boolean): void {
    if (run.canBeDeclined) {
      this.#declinePolicies[run.entry]?.record(isDeclined);
    }
    const waitMs = this.#now - run.arrivedAt;
    const { group, isFar, startMs } = run.placed;
    const rack = group?.rack ?? (isFar ? undefined : run.rack);
    if (rack !== undefined) {
      this.#forecasts[run.entry]?.record(rack, startMs, waitMs);
    }
  }

  /** Ends the runs that are due, and starts those that fit. */
  #advance(worker: Worker): void {
    const now = this.#now;
    if (
      worker.queue.size === 0 && !worker.running.some((r) => r.endsAt <= now)
    ) {
      return;
    }
    const ended = worker.running.filter(({ endsAt }) => endsAt <= now);
    worker.running = worker.running.filter(({ endsAt }) => endsAt > now);
    for (const { run, startedAt } of ended) {
      worker.slowdown.record(run.job.id, now - startedAt, run.expectedMs);
      run.job.placed.delete(run.index);
      if (--run.job.remainingTasks === 0) {
        run.job.endedAt = now;
      }
    }
    const takeOptions = { now, slowdown: worker.slowdown.mean };
    for (const run of worker.queue.takeExpired(takeOptions)) {
      run.job.isLost = true;
    }
    worker.queue.removeWhere(({ job }) => job.isLost);
    worker.queue.takeOverdue(now, (run) => this.#isLate(worker, run))
      .forEach((run) => this.#handBack(worker, run));
    for (;;) {
      const run = worker.queue.takeNext(getFree(worker), takeOptions);
      if (run === undefined) {
        return;
      }
      this.#recordEnd(run, false);
      const isFar = run.placed.isFar && !this.#isInformed;
      const isSlow = Number(worker.load.agentId) % this.#workersPerRack === 1 &&
        now >= HOT.fromMs && now < HOT.toMs;
      const runMs = run.actualMs * worker.speed *
        (isSlow ? this.#options.slowFactor ?? 1 : 1) *
        (isFar ? this.#options.farFactor : 1);
      const execution = { run, startedAt: now, endsAt: now + runMs };
      worker.running.push({ ...execution, isSpread: false });
      this.#slowSpreadGroup(run.job);
    }
  }

  #isGroup({ kind }: Job): boolean {
    return this.#options.groupTasks !== undefined && kind.priority === 0;
  }

  /** Makes the running tasks of a group take longer once several racks have some. */
  #slowSpreadGroup(job: Job): void {
    if (!this.#isGroup(job) || this.#isInformed) {
      return;
    }
    const executions = this.#workers.flatMap(({ load, running }) =>
      running.filter(({ run }) => run.job === job)
        .map((execution) => ({ execution, rack: load.rack }))
    );
    if (new Set(executions.map(({ rack }) => rack)).size < 2) {
      return;
    }
    for (const { execution } of executions) {
      if (!execution.isSpread) {
        const leftMs = execution.endsAt - this.#now;
        execution.endsAt += leftMs * (this.#options.farFactor - 1);
        execution.isSpread = true;
      }
    }
  }

  #sendReport(worker: Worker, n: number): void {
    const report = this.#createReport(worker);
    this.#startEvent(
      REPORT_DELAY_MS,
      () => this.#views.forEach((view) => view[n] = report),
    );
  }

  #createReport(worker: Worker): WorkerLoad {
    const { runs, expectedMs } = worker.queue.getBacklog();
    const slowdown = worker.slowdown.value;
    return {
      ...worker.load,
      slowdown,
      free: getFree(worker),
      slotRoundingOffset: this.#getRandom(),
      queuedRuns: runs,
      queuedMs: expectedMs.map((ms) => ms * slowdown),
      runningLeftMs: worker.running.map(({ run, startedAt, endsAt }) =>
        this.#isInformed
          ? endsAt - this.#now
          : this.#getLeftMs(worker, run, startedAt)
      ),
    };
  }

  #startEvent(delayMs: number, handle: () => void): void {
    if (delayMs === 0) {
      handle();
      return;
    }
    const at = this.#now + delayMs;
    this.#events.set(at, [...this.#events.get(at) ?? [], handle]);
  }

  #getRandom(): number {
    return this.#random.getInt(0, 999_999) / 1_000_000;
  }

  #summarize(): RackLoadResult {
    const getShare = (jobs: Job[]) =>
      jobs.filter(({ endedAt, targetAt }) => (endedAt ?? Infinity) <= targetAt)
        .length / jobs.length;
    const { far, near, handedBack } = this.#counts;
    const hot = this.#jobs.filter(({ arrivedAt }) =>
      arrivedAt >= HOT.fromMs && arrivedAt < HOT.toMs
    );
    const getPriority = (priority: number) =>
      getShare(hot.filter(({ kind }) => kind.priority === priority));
    return {
      inTime: [0, 1, 2].map((priority) => round(getPriority(priority))),
      all: round(getShare(this.#jobs)),
      farShare: round(far / (near + far)),
      handedBack,
    };
  }
}

function getFree({ load, running }: Worker): WorkerLoad["free"] {
  const usedCpu = running.length * createBatchStep().resources.cpuMillis;
  return { ...load.capacity, cpuMillis: load.capacity.cpuMillis - usedCpu };
}

function createEach<T>(count: number, create: (n: number) => T): T[] {
  return Array.from({ length: count }, (_, n) => create(n));
}

function round(share: number): number {
  return Math.round(share * 1_000) / 1_000;
}
