import {
  addResources,
  type RunOutcome,
  RunQueue,
  SlowdownEstimate,
  type TaskResources,
} from "../../../state/batch/mod.ts";
import type { Metrics } from "../../../state/metrics/mod.ts";
import type {
  ActiveRun,
  EndedRun,
  EventLog,
  LeaseReport,
  WorkerControl,
  WorkerReply,
} from "../../ports/mod.ts";
import type { WorkerStatus } from "../../messages/mod.ts";
import { BATCH_LIMITS } from "../batch_limits.ts";
import { Fence } from "./fence.ts";
import type { LocalRun } from "./local_run.ts";
import type { RunOwner } from "./run_owner.ts";
import { WorkerClock } from "./worker_clock.ts";
import type { WorkerDescription } from "./worker_description.ts";
import { WorkerLease } from "./worker_lease.ts";

/**
 * Wait for the answer to a start or a stop, in milliseconds: some fifty times
 * the usual one. An unanswered start is settled by the next lease report.
 */
const ORDER_TIMEOUT_MS = 100;

/** A stop is sent again when its run is still listed after this time. */
const STOP_AGAIN_MS = 120;

/** Numbers that a start tries when the worker has seen the run's number. */
const MAX_RUN_STEPS = 20;

/** Lease reports in a row without a run after which the run is lost. */
const MAX_MISSED_REPORTS = 2;

/** No starts after the worker refused one as unhealthy, in milliseconds. */
const UNHEALTHY_MS = 300;

/** Weight of a run in the share of failed runs. */
const FAILURE_WEIGHT = 0.2;

/**
 * Part of its expected run time that a run is expected to need when it should
 * have ended already.
 */
const OVERDUE_SHARE = 0.15;

const NO_RESOURCES: TaskResources = { cpuMillis: 0, memoryMb: 0, gpus: 0 };

export interface WorkerRunnerOptions {
  control: WorkerControl;
  log: EventLog;
  metrics: Metrics;
  /** Longest lease that the worker grants, in milliseconds. */
  maxLeaseMs?: number;
  /** May tasks start in this availability zone? */
  isInService: () => boolean;
  /** Called when the load or the state of the worker has changed. */
  onChange: () => void;
  getTime?: () => number;
  getWallClock?: () => number;
}

/**
 * Runs tasks at the worker beside the agent. Only the agent starts tasks there,
 * so it never starts one without room. A start whose answer is lost is settled
 * by a higher fence: after a report under that fence the run is either listed
 * or can't start any more.
 */
export class WorkerRunner {
  readonly #options: WorkerRunnerOptions;
  readonly #getTime: () => number;
  readonly #fence: Fence;
  readonly #clock = new WorkerClock();
  readonly #queue = new RunQueue<LocalRun>();
  readonly #runs = new Map<string, LocalRun>();
  readonly #slowdown = new SlowdownEstimate();
  #worker: WorkerDescription | undefined;
  #lease: WorkerLease | undefined;
  #isSettled = false;
  #isStopping = false;
  #unhealthyUntil = 0;
  #failureShare = 0;

  constructor(options: WorkerRunnerOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
    this.#fence = new Fence((options.getWallClock ?? Date.now)());
  }

  /** Runs that wait or are at work. */
  get runCount(): number {
    return this.#runs.size;
  }

  get worker(): WorkerDescription | undefined {
    return this.#worker;
  }

  /** May tasks be sent to this agent? */
  get acceptsWork(): boolean {
    return this.#worker !== undefined && !this.#worker.isDraining &&
      this.#isSettled && !this.#isStopping &&
      this.#lease?.isAnswering === true &&
      this.#getTime() >= this.#unhealthyUntil && this.#options.isInService();
  }

  /** Does an entry have runs here, other than those of one owner? */
  hasRunsOfEarlierSessions(owner: RunOwner): boolean {
    for (const run of this.#runs.values()) {
      if (run.owner.name === owner.name && run.owner !== owner) {
        return true;
      }
    }
    return false;
  }

  /** Takes a worker's report of itself into account. */
  setWorker(worker: WorkerDescription): void {
    const known = this.#worker;
    if (known !== undefined && isOlder(worker, known)) {
      this.#options.log.record("worker_report_ignored", {
        workerId: worker.workerId,
        bornAtMs: worker.bornAtMs,
        sequence: worker.sequence,
      });
      return;
    }
    const isSameLife = known !== undefined &&
      known.workerId === worker.workerId && known.bornAtMs === worker.bornAtMs;
    this.#worker = worker;
    if (!isSameLife) {
      this.#startLife(worker);
    } else if (known.isDraining !== worker.isDraining) {
      this.#options.log.record("worker_state", {
        workerId: worker.workerId,
        isDraining: worker.isDraining,
        remainingMs: worker.remainingMs,
      });
    }
    this.processQueue();
  }

  /**
   * Handles that the worker says it leaves. A later life may have the same id
   * and the message may be late, so only the worker's silence ends its runs.
   */
  handleWorkerLeave(workerId: string): void {
    const worker = this.#worker;
    this.#options.log.record("worker_leaves", { workerId });
    if (worker?.workerId === workerId) {
      this.#worker = { ...worker, isDraining: true };
      this.processQueue();
    }
  }

  /** Queues a run; its owner hears of its end. */
  add(run: LocalRun): void {
    const earlier = this.#runs.get(run.task);
    if (earlier !== undefined) {
      if (earlier.owner === run.owner && earlier.run === run.run) {
        return;
      }
      this.#stop(earlier);
      this.#tell(run, "returned", "an earlier run of the task is at work");
      return;
    }
    if (!this.acceptsWork) {
      this.#tell(run, "returned", this.#getRefusal());
      return;
    }
    this.#runs.set(run.task, run);
    this.#queue.add(run);
  }

  /** Stops the runs that match, and takes them out of the queue. */
  stopWhere(matches: (run: LocalRun) => boolean): void {
    for (const run of [...this.#runs.values()].filter(matches)) {
      this.#stop(run);
    }
  }

  /** Takes no more work; what is at work goes on. */
  stopAccepting(): void {
    this.#isStopping = true;
    this.processQueue();
  }

  /** Ends the lease, so that nothing more is renewed. */
  stop(): void {
    this.#lease?.stop();
  }

  /** Starts what has room, and gives back what can't run here. */
  processQueue(): void {
    if (!this.acceptsWork) {
      this.#returnQueue(this.#getRefusal());
    }
    const pace = { now: this.#getTime(), slowdown: this.#slowdown.value };
    for (const run of this.#queue.takeExpired(pace)) {
      this.#end(run, "expired", "can't end in time");
    }
    for (;;) {
      const run = this.#queue.takeNext(this.#getFree(), pace);
      if (run === undefined) {
        break;
      }
      void this.#start(run);
    }
    this.#options.onChange();
  }

  /** Gets the state and load of the worker, for entries. */
  getStatus(): Omit<WorkerStatus, "isSettled" | "receivedBatch" | "entries"> {
    const worker = this.#worker;
    const capacity = worker?.capacity ?? NO_RESOURCES;
    const free = this.#getFree();
    const queued = this.#queue.getBacklog();
    return {
      workerId: worker?.workerId ?? "",
      acceptsWork: this.acceptsWork,
      ...capacity,
      labels: [...worker?.labels ?? []],
      zone: worker?.zone ?? "",
      service: worker?.service ?? "",
      freeCpuMillis: Math.max(0, free.cpuMillis),
      freeMemoryMb: Math.max(0, free.memoryMb),
      freeGpus: Math.max(0, free.gpus),
      slowdown: this.#slowdown.value,
      runningLeftMs: this.#getRunningLeft(),
      queuedRuns: queued.runs,
      queuedMs: queued.expectedMs.map((ms) =>
        Math.round(ms * this.#slowdown.value)
      ),
      failureShare: this.#failureShare,
    };
  }

  #getRefusal(): string {
    const worker = this.#worker;
    if (worker === undefined) {
      return "no worker";
    }
    if (worker.isDraining) {
      return "the worker is draining";
    }
    if (!this.#options.isInService()) {
      return "the availability zone is out of service";
    }
    return this.#isStopping ? "the agent is stopping" : "the worker is silent";
  }

  #getFree(): TaskResources {
    let free = this.#worker?.capacity ?? NO_RESOURCES;
    for (const run of this.#runs.values()) {
      if (run.state !== "queued") {
        free = addResources(free, run.resources, -1);
      }
    }
    return free;
  }

  /** Gets the expected remaining times of the runs at work, in milliseconds. */
  #getRunningLeft(): number[] {
    const now = this.#getTime();
    const left: number[] = [];
    for (const run of this.#runs.values()) {
      if (run.state !== "queued") {
        const totalMs = run.expectedMs * this.#slowdown.value;
        const leftMs = totalMs - (now - run.startedAt);
        left.push(Math.round(Math.max(OVERDUE_SHARE * totalMs, leftMs)));
      }
    }
    return left;
  }

  #startLife(worker: WorkerDescription): void {
    const { control, log } = this.#options;
    this.#endRuns("the worker has restarted");
    this.#lease?.stop();
    this.#clock.reset();
    this.#isSettled = false;
    this.#unhealthyUntil = 0;
    this.#failureShare = 0;
    log.record("worker_found", { ...worker });
    const lease = new WorkerLease({
      workerId: worker.workerId,
      control,
      clock: this.#clock,
      fence: this.#fence,
      log,
      leaseMs: Math.min(
        BATCH_LIMITS.leaseMs,
        this.#options.maxLeaseMs ?? BATCH_LIMITS.leaseMs,
      ),
      getTime: this.#getTime,
      onReport: (report, request) => this.#handleReport(lease, report, request),
      onExpired: () => this.#endRuns("the lease has expired"),
      onLost: (reason) => this.#endLife(reason),
    });
    this.#lease = lease;
    void lease.run();
  }

  #endLife(reason: string): void {
    this.#options.log.record("worker_lost", {
      workerId: this.#worker?.workerId,
      reason,
    });
    this.#lease?.stop();
    this.#lease = undefined;
    this.#worker = undefined;
    this.#endRuns(reason);
    this.processQueue();
  }

  /** Ends the runs at the worker, which are certainly gone. */
  #endRuns(reason: string): void {
    this.#returnQueue(reason);
    for (const run of [...this.#runs.values()]) {
      this.#end(run, "lost", reason);
    }
  }

  #returnQueue(reason: string): void {
    for (const run of this.#queue.removeWhere(() => true)) {
      this.#end(run, "returned", reason);
    }
  }

  #handleReport(
    lease: WorkerLease,
    report: LeaseReport,
    request: { fence: number; sentAt: number },
  ): void {
    const born = report.bornAtMs;
    const worker = this.#worker;
    if (
      worker !== undefined && born !== undefined && born !== worker.bornAtMs
    ) {
      this.#handleOtherLife(worker, born);
      return;
    }
    for (const ended of report.ended) {
      if (ended.sequence > lease.confirmedUpTo) {
        lease.confirmedUpTo = ended.sequence;
        this.#handleEnded(ended);
      }
    }
    this.#compareRuns(report.running, request);
    this.processQueue();
  }

  /** Handles a report that another life of the worker than the known one sent. */
  #handleOtherLife(worker: WorkerDescription, bornAtMs: number): void {
    if (worker.bornAtMs === undefined) {
      this.#worker = { ...worker, bornAtMs };
    } else if (bornAtMs > worker.bornAtMs) {
      // The reports of the new life state its resources.
      this.#endLife("the worker has restarted");
    }
  }

  #handleEnded(ended: EndedRun): void {
    const run = this.#runs.get(ended.task);
    if (run !== undefined && run.state !== "queued" && run.run === ended.run) {
      this.#recordOutcome(run, ended.outcome);
      this.#end(run, ended.outcome, ended.detail);
    }
  }

  #recordOutcome(run: LocalRun, outcome: RunOutcome): void {
    if (outcome === "done") {
      this.#slowdown.record(this.#getTime() - run.startedAt, run.expectedMs);
    }
    if (outcome === "done" || outcome === "failed") {
      const failure = outcome === "failed" ? 1 : 0;
      this.#failureShare += FAILURE_WEIGHT * (failure - this.#failureShare);
    }
  }

  /** Compares the runs that the worker lists with those that should be there. */
  #compareRuns(
    listed: readonly ActiveRun[],
    request: { fence: number; sentAt: number },
  ): void {
    const byTask = new Map(listed.map((run) => [run.task, run]));
    let isSettled = true;
    for (const { task, run } of listed) {
      const known = this.#runs.get(task);
      if (known === undefined || known.state === "queued") {
        isSettled = false;
        void this.#sendStop(task, run);
      }
    }
    if (isSettled && !this.#isSettled) {
      this.#isSettled = true;
      this.#options.log.record("worker_settled", {
        workerId: this.#worker?.workerId,
      });
    }
    for (const run of [...this.#runs.values()]) {
      this.#compareRun(run, byTask.get(run.task), request);
    }
  }

  #compareRun(
    run: LocalRun,
    listed: ActiveRun | undefined,
    request: { fence: number; sentAt: number },
  ): void {
    if (run.startedAt > request.sentAt) {
      return;
    }
    switch (run.state) {
      case "queued":
      case "starting":
        return;
      case "uncertain":
        if (listed !== undefined) {
          this.#handleStarted(run);
        } else if (request.fence >= run.settlingFence) {
          this.#end(run, "returned", "the start was not carried out");
        }
        return;
      case "running":
      case "stopping":
        if (listed === undefined) {
          run.missedReports++;
          if (run.missedReports >= MAX_MISSED_REPORTS) {
            this.#end(run, "lost", "the worker does not list the run");
          }
          return;
        }
        run.missedReports = 0;
        if (
          run.state === "stopping" &&
          this.#getTime() - run.stopSentAt > STOP_AGAIN_MS
        ) {
          this.#stop(run);
        }
        return;
      default:
        run.state satisfies never;
    }
  }

  async #start(run: LocalRun): Promise<void> {
    run.state = "starting";
    for (let step = 0; step < MAX_RUN_STEPS; step++) {
      const worker = this.#worker;
      const now = this.#getTime();
      const leaseUntilMs = this.#lease?.getLeaseEnd(now);
      if (
        worker === undefined || leaseUntilMs === undefined ||
        !this.acceptsWork || !run.owner.isResponsive() || run.isStopRequested
      ) {
        const outcome = run.isStopRequested ? "stopped" : "returned";
        this.#end(run, outcome, "no start is allowed now");
        return;
      }
      run.startedAt = now;
      this.#lease?.recordRenewal(now);
      const fence = this.#fence.value;
      const reply = await this.#options.control.startRun({
        workerId: worker.workerId,
        fence,
        timeoutMs: ORDER_TIMEOUT_MS,
        task: run.task,
        run: run.run,
        spec: run.spec,
        leaseUntilMs,
      });
      if (this.#runs.get(run.task) !== run) {
        return;
      }
      if (reply.isErr()) {
        this.#handleStartError(run, reply.error.kind, reply.error.message);
        return;
      }
      this.#recordClock(reply.value);
      if (!this.#canStartAgain(run, reply.value, fence)) {
        return;
      }
    }
    this.#end(run, "returned", "the worker refuses each number of the run");
  }

  /** Handles the answer to a start; true when it is worth another try. */
  #canStartAgain(run: LocalRun, reply: WorkerReply, fence: number): boolean {
    switch (reply.refusal) {
      case undefined:
        this.#handleStarted(run);
        return false;
      case "old_run":
        run.run++;
        return true;
      case "stale_fence":
        this.#fence.raiseAbove(fence);
        return true;
      case "past_lease":
        return true;
      case "no_room":
        this.#options.log.record("no_room", { task: run.task });
        this.#end(run, "returned", "the worker has no room");
        return false;
      case "unhealthy":
        this.#unhealthyUntil = this.#getTime() + UNHEALTHY_MS;
        this.#end(run, "returned", "the worker is unhealthy");
        return false;
      case "other_worker":
        this.#end(run, "returned", "another worker answers");
        this.#endLife("another worker answers at the address");
        return false;
      case "invalid":
        this.#end(run, "failed", "the worker refuses the order as invalid");
        return false;
      default:
        return reply.refusal satisfies never;
    }
  }

  #handleStarted(run: LocalRun): void {
    run.state = "running";
    this.#options.metrics.recordTime("run_wait", run.startedAt - run.arrivedAt);
    this.#options.log.record("run_started", {
      job: run.jobId,
      task: run.task,
      run: run.run,
      entry: run.owner.name,
      queuedMs: Math.round(run.startedAt - run.arrivedAt),
    });
    if (run.isStopRequested) {
      this.#stop(run);
    }
  }

  #handleStartError(run: LocalRun, kind: string, reason: string): void {
    this.#options.log.record("start_unanswered", {
      job: run.jobId,
      task: run.task,
      run: run.run,
      kind,
      reason,
    });
    if (kind === "upstream_unreachable") {
      this.#endLife(reason);
      return;
    }
    run.state = "uncertain";
    this.#fence.raise();
    run.settlingFence = this.#fence.value;
    void this.#lease?.refresh();
  }

  #stop(run: LocalRun): void {
    switch (run.state) {
      case "queued":
        this.#queue.removeWhere((queued) => queued === run);
        this.#end(run, "stopped", "before its start");
        return;
      case "starting":
      case "uncertain":
        run.isStopRequested = true;
        return;
      case "running":
      case "stopping":
        run.state = "stopping";
        run.stopSentAt = this.#getTime();
        void this.#sendStop(run.task, run.run);
        return;
      default:
        run.state satisfies never;
    }
  }

  async #sendStop(task: string, run: number): Promise<void> {
    const workerId = this.#worker?.workerId;
    if (workerId === undefined) {
      return;
    }
    const fence = this.#fence.value;
    const reply = await this.#options.control.stopRun({
      workerId,
      fence,
      timeoutMs: ORDER_TIMEOUT_MS,
      task,
      run,
    });
    if (reply.isErr()) {
      // Lease reports still list the run, and it is stopped again then.
      this.#options.log.record("stop_unanswered", {
        task,
        run,
        reason: reply.error.message,
      });
    } else if (reply.value.refusal === "stale_fence") {
      this.#fence.raiseAbove(fence);
    } else {
      this.#recordClock(reply.value);
    }
  }

  #recordClock(reply: WorkerReply): void {
    if (reply.workerClockMs !== undefined) {
      this.#clock.record(reply.workerClockMs, this.#getTime());
    }
  }

  #end(run: LocalRun, outcome: RunOutcome, detail: string): void {
    if (this.#runs.get(run.task) === run) {
      this.#runs.delete(run.task);
    }
    this.#tell(run, outcome, detail);
  }

  #tell(run: LocalRun, outcome: RunOutcome, detail: string): void {
    const runMs = run.startedAt === 0
      ? 0
      : Math.max(1, Math.round(this.#getTime() - run.startedAt));
    const { metrics } = this.#options;
    metrics.incrementCounter("runs", 1, { labels: { outcome } });
    if (outcome === "done") {
      metrics.recordTime("run", runMs);
    }
    this.#options.log.record("run_ended", {
      job: run.jobId,
      task: run.task,
      run: run.run,
      outcome,
      detail: detail === "" ? undefined : detail,
      runMs,
    });
    run.owner.handleEnd({
      task: run.task,
      run: run.run,
      outcome,
      runMs,
      detail,
    });
  }
}

/** Was the report sent before the known one? */
function isOlder(report: WorkerDescription, known: WorkerDescription): boolean {
  if (report.bornAtMs === undefined || known.bornAtMs === undefined) {
    return false;
  }
  return report.bornAtMs < known.bornAtMs ||
    (report.bornAtMs === known.bornAtMs &&
      report.workerId === known.workerId && report.sequence < known.sequence);
}
