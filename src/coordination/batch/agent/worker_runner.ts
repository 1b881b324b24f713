import type { Result } from "neverthrow";
import {
  type CrashedRun,
  getPriorityLabel,
  hasRoom,
  OrderTimeout,
  type RunOutcome,
  RunQueue,
  SAME_POINT_TOLERANCE_MS,
  type TaskResources,
  WorkerTrust,
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
import type {
  CancelReason,
  WorkerProfile,
  WorkerStatus,
} from "../../messages/mod.ts";
import { BATCH_LIMITS } from "../batch_limits.ts";
import { Fence } from "./fence.ts";
import type { DispatchError } from "../../../state/errors/mod.ts";
import { getMaxLeaseDurationMs } from "./get_max_lease_duration_ms.ts";
import type { IncarnationEvidence } from "./incarnation_evidence.ts";
import type { AwaitedGrant } from "./awaited_grant.ts";
import type { LocalRun } from "./local_run.ts";
import type { RunOwner } from "./run_owner.ts";
import type { StopReason } from "./stop_reason.ts";
import type { WorkerEnd } from "./worker_end.ts";
import { ReportSequence } from "./report_sequence.ts";
import { WorkerClock } from "./worker_clock.ts";
import type { WorkerDescription } from "./worker_description.ts";
import { WorkerLease } from "./worker_lease.ts";
import { WorkerRoom } from "./worker_room.ts";

/**
 * Timeout of a stop order, in milliseconds: about fifty times the usual response
 * time.
 */
const STOP_TIMEOUT_MS = 100;

/**
 * Time after which a stop is sent again if the worker still lists its run, in
 * milliseconds.
 */
const STOP_RETRY_INTERVAL_MS = 120;

/**
 * Attempts to start one run. An attempt that the worker refuses because of the
 * run number, the fence or the lease is repeated.
 */
const MAX_START_ATTEMPTS = 20;

/**
 * Starts of one run that the worker doesn't carry out, after which the run goes back to
 * its entry.
 */
const MAX_MISSED_STARTS = 3;

/** A run is lost when this many consecutive lease reports do not list it. */
const MAX_MISSED_REPORTS = 2;

/**
 * Least time between the moments at which two runs of one worker reach the
 * points at which workers have crashed under their tasks, in milliseconds.
 */
const SUSPECT_SPACING_MS = 2 * SAME_POINT_TOLERANCE_MS;

/** Factor by which the slowdown rises at once when a worker is distrusted. */
const DISTRUST_FACTOR = 1.5;

const OTHER_REVISION_REASON =
  "the worker is no longer the one that the run was placed on";

const NO_RESOURCES: TaskResources = { cpuMillis: 0, memoryMb: 0, gpus: 0 };

export interface WorkerRunnerOptions {
  control: WorkerControl;
  /** Identifies one start of the agent process. */
  incarnation: string;
  log: EventLog;
  metrics: Metrics;
  /** Longest lease that the worker grants, in milliseconds. */
  maxLeaseMs?: number;
  /** Returns whether the agent's availability zone is in service. */
  isInService: () => boolean;
  /** Called when the load or the state of the worker has changed. */
  onChange: () => void;
  /** Called with the runs of a worker that has crashed, before they end. */
  onCrash?: (id: string, runs: readonly CrashedRun[]) => void;
  getTime?: () => number;
  getWallClock?: () => number;
}

/**
 * Runs tasks on the worker beside the agent. Only the agent starts tasks there,
 * so it knows the free resources and starts no task that does not fit. When the
 * reply to a start is lost, the agent raises its fence: a report requested
 * under the new fence either lists the run, or the run can't start any more.
 *
 * Orders name a worker by its id, under which another incarnation may follow at
 * once. A run of which no answer tells which incarnation has started it is kept
 * until a report of the next one tells whether it is there.
 */
export class WorkerRunner {
  readonly #options: WorkerRunnerOptions;
  readonly #getTime: () => number;
  readonly #fence: Fence;
  readonly #clock = new WorkerClock();
  readonly #queue = new RunQueue<LocalRun>();
  readonly #runs = new Map<string, LocalRun>();
  readonly #room: WorkerRoom;
  readonly #reportSequence = new ReportSequence();
  #worker: WorkerDescription | undefined;
  /** Rises with each incarnation, and when the worker's traits change. */
  #workerRevision = 0;
  /**
   * The latest report of another incarnation than the one in use. It may be
   * late or of another writer, so the worker's answers decide between the two.
   */
  #otherReport: { worker: WorkerDescription; arrivedAt: number } | undefined;
  #lease: WorkerLease | undefined;
  /**
   * Whether a report of this incarnation of the worker has listed no run that
   * this process did not start.
   */
  #isSettled = false;
  /** Whether the latest report lists a run that should not be there. */
  #hasUnknownRuns = false;
  /** Stops that the worker has not answered. */
  readonly #openStops = new Set<string>();
  #isStopping = false;
  /**
   * Runs whose lease has expired since the worker was last heard. If another
   * incarnation follows, the worker may have crashed under them.
   */
  #expiredRuns: LocalRun[] = [];
  #crashCount = 0;
  /** Runs the queue again once a run that waits for a suspect may start. */
  #suspectTimer: NodeJS.Timeout | undefined;
  /** Ends the runs that no incarnation can have any more. */
  #unsettledTimer: NodeJS.Timeout | undefined;
  /** Processes the queue when runs that wait are to be checked. */
  #recheckTimer: NodeJS.Timeout | undefined;
  #nextRecheckAt = Infinity;
  /**
   * Of start orders. The next lease report tells whether an unanswered start was
   * carried out.
   */
  readonly #startTimeout = new OrderTimeout();
  /** Of the worker's incarnation. */
  #trust = new WorkerTrust();

  constructor(options: WorkerRunnerOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
    this.#room = new WorkerRoom({
      runs: this.#runs,
      queue: this.#queue,
      getCapacity: () => this.#worker?.capacity ?? NO_RESOURCES,
      getTime: this.#getTime,
    });
    this.#fence = new Fence((options.getWallClock ?? Date.now)());
  }

  /** Gets the number of runs that are queued or were sent to the worker. */
  get runCount(): number {
    return this.#runs.size;
  }

  get worker(): WorkerDescription | undefined {
    return this.#worker;
  }

  /**
   * Gets the revision of the worker's profile: runs that were placed by another one are
   * returned, since the worker may lack what they require.
   */
  get workerRevision(): number {
    return this.#workerRevision;
  }

  /** Gets whether entries may send tasks to this agent. */
  get acceptsWork(): boolean {
    return this.#worker !== undefined && !this.#worker.isDraining &&
      this.#isSettled && !this.#isStopping &&
      this.#lease?.isAnswering === true &&
      this.#trust.canStart(this.#getTime()) && this.#options.isInService();
  }

  /**
   * Returns whether a run that the entry ordered on an earlier stream may still
   * be executing: one of another session of the entry, or one of a former agent
   * process. Only a report of the worker excludes the latter.
   */
  canHaveRunsOfEarlierSessions(owner: RunOwner): boolean {
    if (!this.#isSettled) {
      return true;
    }
    for (const run of this.#runs.values()) {
      if (run.owner.name === owner.name && run.owner !== owner) {
        return true;
      }
    }
    return false;
  }

  /** Handles a description that a worker has reported of itself. */
  handleWorkerReport(worker: WorkerDescription): void {
    const known = this.#worker;
    const now = this.#getTime();
    if (known === undefined) {
      this.#startIncarnation(worker);
    } else if (!isSameIncarnation(worker, known)) {
      this.#otherReport = { worker, arrivedAt: now };
      void this.#lease?.requestReport();
      return;
    } else if (this.#reportSequence.tryAdvance(worker.sequence, now)) {
      this.#updateWorker(worker, known);
    } else {
      this.#logIgnoredReport(worker, "it is older than the latest one");
      return;
    }
    this.processQueue();
  }

  #updateWorker(worker: WorkerDescription, known: WorkerDescription): void {
    this.#worker = worker;
    if (!hasSameTraits(worker, known)) {
      this.#workerRevision++;
      this.#returnQueuedRuns(
        OTHER_REVISION_REASON,
        (run) => !this.#isPlacedOnWorker(run),
      );
    }
    if (known.isDraining !== worker.isDraining) {
      this.#options.log.record("worker_state", {
        workerId: worker.workerId,
        isDraining: worker.isDraining,
        remainingMs: worker.remainingMs,
      });
    }
  }

  #logIgnoredReport(worker: WorkerDescription, reason: string): void {
    this.#options.log.record("worker_report_ignored", {
      workerId: worker.workerId,
      bornAtMs: worker.bornAtMs,
      sequence: worker.sequence,
      reason,
    });
  }

  /**
   * Handles a worker's announcement that it leaves. The message may be late,
   * and a later incarnation may have the same id, so the worker's runs go on
   * until it stops responding.
   */
  handleWorkerLeave(workerId: string): void {
    const worker = this.#worker;
    this.#options.log.record("worker_leaves", { workerId });
    if (worker?.workerId === workerId) {
      this.#worker = { ...worker, isDraining: true };
      this.processQueue();
    }
  }

  /** Queues a run, or reports to its owner why it can't be queued. */
  add(run: LocalRun): void {
    const earlier = this.#runs.get(run.task);
    if (earlier !== undefined) {
      if (earlier.owner === run.owner && earlier.run === run.run) {
        return;
      }
      const isOfOtherEntry = earlier.owner.name !== run.owner.name;
      if (isOfOtherEntry && run.awaitedGrant?.isComplete === false) {
        // The homes of the job decide whether the earlier run is stopped.
        this.#reportEnd(run, "returned", "another entry has a run of the task");
        return;
      }
      if (isOfOtherEntry) {
        earlier.owner.sendCancel(run.jobId, "superseded");
      }
      const reason = isOfOtherEntry ? "other_entry" : "later_run";
      this.#requestStop(earlier, reason, run.owner);
      this.#reportEnd(
        run,
        "returned",
        "an earlier run of the task has not ended",
      );
      return;
    }
    if (!this.acceptsWork) {
      this.#reportEnd(run, "returned", this.#getRefusalReason());
      return;
    }
    if (!this.#isPlacedOnWorker(run)) {
      this.#options.metrics.incrementCounter("outdated_orders", 1);
      this.#reportEnd(run, "returned", OTHER_REVISION_REASON);
      return;
    }
    const decision = this.#room.decideQueueing(run);
    switch (decision.kind) {
      case "queued":
        this.#runs.set(run.task, run);
        this.#queue.add(run);
        this.#startRecheckTimer(run);
        return;
      case "declined": {
        const startMs = Math.round(decision.startMs);
        this.#reportEnd(run, "declined", `no room for ${startMs} ms`);
        return;
      }
      default:
        decision satisfies never;
    }
  }

  /** Returns whether a run was placed on the worker as it is now. */
  #isPlacedOnWorker({ workerRevision }: LocalRun): boolean {
    return workerRevision === undefined ||
      workerRevision === this.#workerRevision;
  }

  /** Processes the queue when it is time to check a run that waits. */
  #startRecheckTimer({ recheckAt = Infinity }: LocalRun): void {
    if (recheckAt < this.#nextRecheckAt) {
      clearTimeout(this.#recheckTimer);
      this.#nextRecheckAt = recheckAt;
      this.#recheckTimer = setTimeout(() => {
        this.#nextRecheckAt = Infinity;
        this.processQueue();
        this.#queue.runs.forEach((run) => this.#startRecheckTimer(run));
      }, Math.max(0, recheckAt - this.#getTime()));
    }
  }

  /** Stops the runs that match, queued ones included. */
  stopWhere(matches: (run: LocalRun) => boolean, reason: StopReason): void {
    for (const run of [...this.#runs.values()].filter(matches)) {
      this.#requestStop(run, reason, run.owner);
    }
  }

  /**
   * Stops the runs of a job for an entry. Other entries that have ordered some
   * are told, since they would start them again.
   */
  cancelJob(jobId: string, requester: RunOwner, reason: CancelReason): void {
    const runs = [...this.#runs.values()].filter((run) => run.jobId === jobId);
    const owners = new Set(runs.map(({ owner }) => owner));
    for (const owner of owners) {
      if (owner.name !== requester.name) {
        owner.sendCancel(jobId, reason);
      }
    }
    const stopReason = reason === "requested" ? "cancelled" : reason;
    runs.forEach((run) => this.#requestStop(run, stopReason, requester));
  }

  /** Returns whether runs wait for a grant. */
  hasRunsWaitingFor(awaitedGrant: AwaitedGrant): boolean {
    for (const run of this.#runs.values()) {
      if (run.awaitedGrant === awaitedGrant && run.state === "queued") {
        return true;
      }
    }
    return false;
  }

  /** Finds the granted run of a job whose entry has got the job last. */
  findLatestRun(jobId: string): LocalRun | undefined {
    return [...this.#runs.values()]
      .filter((run) =>
        run.jobId === jobId && run.awaitedGrant?.isComplete !== false
      )
      .sort((a, b) => b.jobArrivedAt - a.jobArrivedAt)[0];
  }

  /**
   * Gets the jobs with runs at this agent that are as old as the given age, in
   * milliseconds; undefined while runs of a former agent process may be executing.
   */
  findOldJobs(ageMs: number): string[] | undefined {
    if (!this.#isSettled) {
      return undefined;
    }
    const arrivedBefore = this.#getTime() - ageMs;
    const runs = [...this.#runs.values()].filter(({ jobArrivedAt }) =>
      jobArrivedAt <= arrivedBefore
    );
    return [...new Set(runs.map(({ jobId }) => jobId))];
  }

  /**
   * Accepts no more runs and returns the queued ones to their entries; started
   * runs go on.
   */
  stopAccepting(): void {
    this.#isStopping = true;
    this.processQueue();
  }

  /** Stops renewing the lease. */
  stop(): void {
    clearTimeout(this.#suspectTimer);
    clearTimeout(this.#unsettledTimer);
    clearTimeout(this.#recheckTimer);
    this.#lease?.stop();
  }

  /**
   * Starts the queued runs that fit, and ends those as expired that can't end
   * before their deadline. While no work is accepted, returns all queued runs
   * to their entries.
   */
  processQueue(): void {
    if (!this.acceptsWork) {
      this.#returnQueuedRuns(this.#getRefusalReason());
    }
    const capacity = this.#worker?.capacity ?? NO_RESOURCES;
    this.#returnQueuedRuns(
      "the worker's capacity has shrunk",
      (run) => !hasRoom(capacity, run.resources),
    );
    const canExtendLease = this.#canExtendLease();
    const takeOptions = {
      now: this.#getTime(),
      slowdown: this.#room.meanSlowdown,
      // The runs of an entry that is behind wait: it would only send them again.
      canStart: (run: LocalRun) =>
        canExtendLease && run.owner.isResponsive() &&
        run.awaitedGrant?.isComplete !== false &&
        !this.#mustWaitForSuspect(run),
    };
    for (const run of this.#queue.takeExpired(takeOptions)) {
      this.#endRun(run, "expired", "can't end before its deadline");
    }
    this.#declineOverdueRuns(takeOptions.now);
    for (;;) {
      const run = this.#queue.takeNext(this.#room.free, takeOptions);
      if (run === undefined) {
        break;
      }
      void this.#startRun(run);
    }
    this.#options.onChange();
  }

  /** Hands the runs back that wait too long for their place. */
  #declineOverdueRuns(now: number): void {
    const runs = this.#queue.takeOverdue(
      now,
      (run) => this.#room.decideQueueing(run).kind === "declined",
    );
    for (const run of runs) {
      this.#endRun(run, "declined", "another place may start it in time");
    }
  }

  /**
   * Returns whether the lease may be extended. It covers all runs at the worker, also
   * those that must end by the time at which entries count lost runs as ended
   * (`getRunExpiryMs`), however long it takes to stop them: runs of entries that are not
   * heard any more, and of a former agent process.
   */
  #canExtendLease(): boolean {
    if (!this.#isSettled || this.#hasUnknownRuns) {
      return false;
    }
    for (const { state, owner } of this.#runs.values()) {
      if (state !== "queued" && !owner.isResponsive()) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns whether a run must wait since a worker has crashed under its task,
   * and a started run reaches the point of such a crash at the same time. Kept
   * apart, a further crash tells which of the two tasks is the cause.
   */
  #mustWaitForSuspect(run: LocalRun): boolean {
    if (run.crashes === 0) {
      return false;
    }
    const now = this.#getTime();
    const crashPointAt = now + run.crashedAfterMs;
    const mustWait = [...this.#runs.values()].some((other) =>
      other.state !== "queued" && isSuspect(other, now) &&
      Math.abs(other.startedAt + other.crashedAfterMs - crashPointAt) <
        SUSPECT_SPACING_MS
    );
    if (mustWait) {
      this.#suspectTimer ??= setTimeout(() => {
        this.#suspectTimer = undefined;
        this.processQueue();
      }, SUSPECT_SPACING_MS);
    }
    return mustWait;
  }

  /** Gets what entries are told of the worker when it changes. */
  getProfile(): WorkerProfile {
    const worker = this.#worker;
    return {
      workerId: worker?.workerId ?? "",
      ...worker?.capacity ?? NO_RESOURCES,
      labels: [...worker?.labels ?? []],
      zone: worker?.zone ?? "",
      service: worker?.service ?? "",
      rack: worker?.rack ?? "",
      revision: this.#workerRevision,
    };
  }

  /** Gets the state and load of the worker that entries are told. */
  getStatus(): Omit<WorkerStatus, "isSettled" | "receivedBatch" | "entries"> {
    const free = this.#room.free;
    const backlog = this.#queue.getBacklog();
    return {
      acceptsWork: this.acceptsWork,
      freeCpuMillis: Math.max(0, free.cpuMillis),
      freeMemoryMb: Math.max(0, free.memoryMb),
      freeGpus: Math.max(0, free.gpus),
      slowdown: round(this.#room.slowdown),
      runningLeftMs: this.#room.getRemainingTimesMs(),
      queuedRuns: backlog.runs,
      queuedMs: backlog.expectedMs.map((ms) =>
        Math.round(ms * this.#room.slowdown)
      ),
      failureShare: round(this.#trust.failureShare),
      suspectRuns: this.#countSuspects(),
    };
  }

  #countSuspects(): number {
    const now = this.#getTime();
    let count = 0;
    for (const run of this.#runs.values()) {
      count += isSuspect(run, now) ? 1 : 0;
    }
    return count;
  }

  #getRefusalReason(): string {
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
    return this.#isStopping
      ? "the agent is stopping"
      : "the worker does not respond";
  }

  #startIncarnation(worker: WorkerDescription): void {
    const { control, log } = this.#options;
    this.#worker = worker;
    this.#workerRevision++;
    this.#reportSequence.start(worker.sequence);
    this.#clock.reset();
    this.#isSettled = false;
    this.#hasUnknownRuns = false;
    this.#trust = new WorkerTrust();
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
      canExtend: () => this.#canExtendLease(),
      hasRuns: () => this.#runs.size > this.#queue.size,
      onReport: (report, request) => this.#handleReport(lease, report, request),
      onExpired: () => this.#handleLeaseExpired(),
      onLost: (reason, evidence) => this.#endIncarnation(reason, evidence),
    });
    this.#lease = lease;
    void lease.run();
  }

  /**
   * Ends the incarnation in use, and starts the one that was reported last if
   * what is known of the worker allows it.
   */
  #endIncarnation(reason: string, evidence: IncarnationEvidence): void {
    const known = this.#worker;
    const other = this.#otherReport?.worker;
    this.#options.log.record("worker_lost", {
      workerId: known?.workerId,
      bornAtMs: known?.bornAtMs,
      answeredBornAtMs: evidence.bornAtMs,
      reason,
    });
    this.#lease?.stop();
    this.#interruptRuns(known, reason, evidence);
    this.#lease = undefined;
    this.#worker = undefined;
    this.#otherReport = undefined;
    if (other !== undefined && canFollow(other, known, evidence)) {
      this.#startIncarnation(other);
    }
    this.#expireUnsettledRuns();
    this.processQueue();
  }

  /**
   * Ends the runs of an incarnation that has ended. Those whose start may have
   * reached the next one wait for a report of it, or for the reply to the start.
   */
  #interruptRuns(
    worker: WorkerDescription | undefined,
    reason: string,
    evidence: IncarnationEvidence,
  ): void {
    this.#returnQueuedRuns(reason);
    this.#crashCount++;
    const end: WorkerEnd = {
      id: `${this.#options.incarnation}/${this.#crashCount}`,
      outcome: worker?.isDraining === true ? "lost" : "crashed",
      at: this.#lease?.brokenAt ?? this.#getTime(),
      reason,
      bornAtMs: worker?.bornAtMs,
    };
    const runs = [...this.#runs.values()];
    const ended = runs.filter((run) => hasEndedWithWorker(run, evidence));
    this.#recordWorkerEnd(end, [
      ...this.#expiredRuns.map((run) => createCrashedRun(run, end, false)),
      ...ended.map((run) => createCrashedRun(run, run.workerEnd ?? end, true)),
    ]);
    this.#expiredRuns = [];
    // The next incarnation must ignore the starts that reach it after a report.
    this.#fence.raise();
    const unsettled = runs.filter((run) =>
      run.state !== "interrupted" && !ended.includes(run)
    );
    for (const run of unsettled) {
      if (run.state === "starting") {
        run.state = "interrupted";
        run.workerEnd = end;
      } else {
        this.#markUnsettled(run, run.workerEnd ?? end);
      }
    }
    if (unsettled.length > 0) {
      this.#options.log.record("runs_unsettled", {
        crash: end.id,
        reason,
        tasks: unsettled.map(({ task }) => task),
      });
    }
    for (const run of ended) {
      this.#endRun(run, end.outcome, reason);
    }
  }

  /** Keeps a run whose start may have reached the next incarnation. */
  #markUnsettled(run: LocalRun, end: WorkerEnd): void {
    run.isStopRequested ||= run.state === "stopping";
    run.state = "uncertain";
    run.workerEnd = end;
    run.isConfirmed = false;
    run.missedReports = 0;
    run.minReportFence = this.#fence.value;
    run.unsettledUntil ??= this.#getTime() + getMaxLeaseDurationMs();
  }

  /**
   * Ends the unsettled runs whose lease has expired on any incarnation. While
   * one is known, its reports or the end of its lease tell about them.
   */
  #expireUnsettledRuns(): void {
    clearTimeout(this.#unsettledTimer);
    if (this.#lease !== undefined) {
      return;
    }
    const now = this.#getTime();
    let nextDelayMs = Infinity;
    for (const run of [...this.#runs.values()]) {
      const { state, workerEnd, unsettledUntil } = run;
      if (
        state === "uncertain" && workerEnd !== undefined &&
        unsettledUntil !== undefined
      ) {
        if (unsettledUntil <= now) {
          this.#endUnsettledRun(run, workerEnd);
        } else {
          nextDelayMs = Math.min(nextDelayMs, unsettledUntil - now);
        }
      }
    }
    if (nextDelayMs !== Infinity) {
      this.#unsettledTimer = setTimeout(
        () => this.#expireUnsettledRuns(),
        Math.ceil(nextDelayMs),
      );
    }
  }

  /** Ends a run that is at no later incarnation than the one that has ended. */
  #endUnsettledRun(run: LocalRun, end: WorkerEnd): void {
    const hasStarted = run.answeredAt !== undefined;
    this.#recordWorkerEnd(end, [createCrashedRun(run, end, hasStarted)]);
    this.#endRun(run, end.outcome, end.reason);
  }

  /** Handles the reply to a start whose worker has ended in the meantime. */
  #handleInterruptedStart(
    run: LocalRun,
    end: WorkerEnd,
    reply: Result<WorkerReply, DispatchError>,
  ): void {
    const error = reply.isErr() ? reply.error : undefined;
    const refusal = reply.isOk() ? reply.value.refusal : undefined;
    if (error?.kind === "upstream_unreachable" || refusal !== undefined) {
      this.#endRun(run, "returned", end.reason);
      return;
    }
    if (reply.isOk()) {
      run.answeredAt = this.#getTime();
      const { bornAtMs } = reply.value;
      if (bornAtMs !== undefined && bornAtMs === end.bornAtMs) {
        this.#endUnsettledRun(run, end);
        return;
      }
    }
    this.#fence.raise();
    this.#markUnsettled(run, end);
    void this.#lease?.requestReport();
    this.#expireUnsettledRuns();
  }

  /** Logs the runs of a worker that has ended, and reports a crash. */
  #recordWorkerEnd(end: WorkerEnd, runs: readonly CrashedRun[]): void {
    if (runs.length === 0) {
      return;
    }
    const { log, metrics, onCrash } = this.#options;
    log.record("runs_interrupted", {
      crash: end.id,
      outcome: end.outcome,
      reason: end.reason,
      tasks: runs.map(({ task, ranMs, hasStarted }) =>
        `${task} ${ranMs} ms${hasStarted ? "" : "?"}`
      ),
      suspects: runs.filter(({ earlierCrashes }) => earlierCrashes > 0)
        .map(({ task }) => task),
    });
    if (end.outcome === "crashed") {
      metrics.incrementCounter("worker_crashes", 1);
      onCrash?.(end.id, runs);
    }
  }

  #handleLeaseExpired(): void {
    this.#expiredRuns.push(
      ...[...this.#runs.values()].filter(({ state }) => state !== "queued"),
    );
    this.#endRuns("the lease has expired");
  }

  /**
   * Returns the queued runs, and reports the others as lost. It is called only
   * when no run can still be running on the worker.
   */
  #endRuns(reason: string): void {
    this.#returnQueuedRuns(reason);
    for (const run of [...this.#runs.values()]) {
      this.#endRun(run, "lost", reason);
    }
  }

  #returnQueuedRuns(
    reason: string,
    matches: (run: LocalRun) => boolean = () => true,
  ): void {
    for (const run of this.#queue.removeWhere(matches)) {
      this.#endRun(run, "returned", reason);
    }
  }

  #handleReport(
    lease: WorkerLease,
    report: LeaseReport,
    request: { fence: number; sentAt: number },
  ): void {
    const { bornAtMs } = report;
    if (bornAtMs !== this.#worker?.bornAtMs) {
      this.#endIncarnation("the worker has restarted", { bornAtMs });
      return;
    }
    const other = this.#otherReport;
    if (other !== undefined && request.sentAt >= other.arrivedAt) {
      this.#otherReport = undefined;
      this.#logIgnoredReport(other.worker, "the worker in use has answered");
    }
    this.#expiredRuns = [];
    for (const ended of report.ended) {
      if (ended.sequence > lease.confirmedUpTo) {
        lease.confirmedUpTo = ended.sequence;
        this.#handleEnded(ended);
      }
    }
    this.#reconcileRuns(report.running, request);
    this.processQueue();
  }

  #handleEnded(ended: EndedRun): void {
    const run = this.#runs.get(ended.task);
    if (run !== undefined && run.state !== "queued" && run.run === ended.run) {
      this.#recordOutcome(run, ended.outcome);
      this.#endRun(run, ended.outcome, ended.detail);
    }
  }

  #recordOutcome(run: LocalRun, outcome: RunOutcome): void {
    if (outcome === "done") {
      this.#recordRunTime(run);
    }
    if (outcome === "done" || outcome === "failed") {
      this.#trust.recordEnd(outcome === "failed");
    }
  }

  #recordRunTime(run: LocalRun): void {
    const former = this.#room.slowdown;
    this.#room.recordDone(run);
    const { slowdown, meanSlowdown } = this.#room;
    if (slowdown > DISTRUST_FACTOR * Math.max(former, meanSlowdown)) {
      this.#options.metrics.incrementCounter("workers_distrusted", 1);
      this.#options.log.record("worker_distrusted", {
        workerId: this.#worker?.workerId,
        slowdown: round(slowdown),
        meanSlowdown: round(meanSlowdown),
      });
    }
  }

  /** Compares the runs that the worker lists with those that it should run. */
  #reconcileRuns(
    listed: readonly ActiveRun[],
    request: { fence: number; sentAt: number },
  ): void {
    const byTask = new Map(listed.map((run) => [run.task, run]));
    this.#hasUnknownRuns = false;
    for (const { task, run } of listed) {
      const known = this.#runs.get(task);
      if (known === undefined || known.state === "queued") {
        this.#hasUnknownRuns = true;
        void this.#sendStop(task, run);
      }
    }
    if (!this.#hasUnknownRuns && !this.#isSettled) {
      this.#isSettled = true;
      this.#options.log.record("worker_settled", {
        workerId: this.#worker?.workerId,
      });
    }
    for (const run of [...this.#runs.values()]) {
      this.#reconcileRun(run, byTask.get(run.task), request);
    }
  }

  #reconcileRun(
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
      case "interrupted":
        return;
      case "uncertain":
        if (listed !== undefined) {
          run.isConfirmed = true;
          this.#handleStarted(run);
        } else if (request.fence >= run.minReportFence) {
          if (run.workerEnd === undefined) {
            this.#handleMissedStart(run);
          } else {
            this.#endUnsettledRun(run, run.workerEnd);
          }
        }
        return;
      case "running":
      case "stopping":
        if (listed === undefined) {
          // The worker may have made the report before it executed the start.
          if (request.sentAt < (run.answeredAt ?? run.startedAt)) {
            return;
          }
          run.missedReports++;
          if (run.missedReports >= MAX_MISSED_REPORTS) {
            this.#endRun(run, "lost", "the worker no longer lists the run");
          }
          return;
        }
        run.missedReports = 0;
        run.isConfirmed = true;
        if (
          run.state === "stopping" &&
          this.#getTime() - run.stopSentAt > STOP_RETRY_INTERVAL_MS
        ) {
          this.#stopRun(run);
        }
        return;
      default:
        run.state satisfies never;
    }
  }

  /**
   * Starts a run again whose start the worker has not carried out. The report that
   * tells so was made under a higher fence, so the worker ignores the former start.
   */
  #handleMissedStart(run: LocalRun): void {
    run.missedStarts = (run.missedStarts ?? 0) + 1;
    if (run.missedStarts >= MAX_MISSED_STARTS) {
      this.#endRun(run, "returned", "the start was not carried out");
    } else {
      const { jobId: job, task, missedStarts } = run;
      const numbers = { run: run.run, missedStarts };
      this.#options.log.record("start_repeated", { job, task, ...numbers });
      void this.#startRun(run);
    }
  }

  async #startRun(run: LocalRun): Promise<void> {
    run.state = "starting";
    for (let attempt = 0; attempt < MAX_START_ATTEMPTS; attempt++) {
      const worker = this.#worker;
      const now = this.#getTime();
      const leaseUntilMs = this.#lease?.getLeaseEnd(now);
      if (
        worker === undefined || leaseUntilMs === undefined ||
        !this.acceptsWork || !this.#isPlacedOnWorker(run) ||
        !this.#canExtendLease() ||
        !run.owner.isResponsive() || run.isStopRequested
      ) {
        const outcome = run.isStopRequested ? "stopped" : "returned";
        this.#endRun(run, outcome, "no start is allowed now");
        return;
      }
      run.startedAt = now;
      this.#lease?.recordRenewal(now);
      const fence = this.#fence.value;
      const reply = await this.#options.control.startRun({
        workerId: worker.workerId,
        fence,
        timeoutMs: this.#startTimeout.valueMs,
        task: run.task,
        run: run.run,
        spec: run.awaitedGrant?.spec ?? run.spec,
        leaseUntilMs,
      });
      if (this.#runs.get(run.task) !== run) {
        return;
      }
      const { workerEnd } = run;
      if (workerEnd !== undefined) {
        this.#handleInterruptedStart(run, workerEnd, reply);
        return;
      }
      if (reply.isErr()) {
        this.#startTimeout.recordTimeout();
        this.#handleStartError(run, reply.error.kind, reply.error.message);
        return;
      }
      this.#startTimeout.recordAnswer(this.#getTime() - now);
      this.#recordClock(reply.value);
      const { bornAtMs, refusal } = reply.value;
      const isOtherIncarnation = bornAtMs !== undefined &&
        bornAtMs !== worker.bornAtMs;
      run.isConfirmed = refusal === undefined && bornAtMs === worker.bornAtMs;
      const isRetried = this.#handleStartReply(run, reply.value, fence);
      if (isOtherIncarnation && this.#worker?.bornAtMs === worker.bornAtMs) {
        this.#endIncarnation("the worker has restarted", { bornAtMs });
      }
      if (!isRetried) {
        return;
      }
    }
    this.#endRun(
      run,
      "returned",
      "the worker refused every attempt to start the run",
    );
  }

  /**
   * Handles the reply to a start.
   * @returns Whether the start is to be tried again.
   */
  #handleStartReply(run: LocalRun, reply: WorkerReply, fence: number): boolean {
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
        this.#endRun(run, "returned", "the worker has no room");
        return false;
      case "unhealthy":
        this.#trust.recordRefusal(this.#getTime());
        this.#endRun(run, "returned", "the worker is unhealthy");
        return false;
      case "other_worker":
        this.#endRun(run, "returned", "another worker answers");
        this.#endIncarnation("another worker answers at the address", {
          ...{ sentAt: run.startedAt, isOtherWorker: true },
        });
        return false;
      case "invalid":
        this.#endRun(run, "failed", "the worker refused the start as invalid");
        return false;
      default:
        return reply.refusal satisfies never;
    }
  }

  #handleStarted(run: LocalRun): void {
    run.state = "running";
    run.answeredAt = this.#getTime();
    run.workerEnd = undefined;
    run.unsettledUntil = undefined;
    const waitMs = run.startedAt - run.arrivedAt;
    const grantedAt = run.awaitedGrant?.completedAt ?? run.arrivedAt;
    const grantMs = Math.max(0, grantedAt - run.arrivedAt);
    const labels = { priority: getPriorityLabel(run.priority) };
    this.#options.metrics.recordTime("run_wait", waitMs, { labels });
    this.#options.metrics.recordTime("grant_wait", grantMs, { labels });
    this.#options.log.record("run_started", {
      job: run.jobId,
      task: run.task,
      run: run.run,
      entry: run.owner.name,
      priority: run.priority,
      queuedMs: Math.round(waitMs),
      grantMs: Math.round(grantMs),
      targetLeftMs: Math.round(run.latencyTargetAt - run.startedAt),
    });
    if (run.isStopRequested) {
      this.#stopRun(run);
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
      this.#endRun(run, "returned", reason);
      this.#endIncarnation(reason, { sentAt: run.startedAt });
      return;
    }
    run.state = "uncertain";
    this.#fence.raise();
    run.minReportFence = this.#fence.value;
    void this.#lease?.requestReport();
  }

  /** Stops a run, and keeps why it was first asked to stop. */
  #requestStop(run: LocalRun, reason: StopReason, requester: RunOwner): void {
    const { name: entry } = requester;
    run.stopRequest ??= { reason, entry, requestedAt: this.#getTime() };
    this.#stopRun(run);
  }

  #stopRun(run: LocalRun): void {
    switch (run.state) {
      case "queued":
        this.#queue.removeWhere((queued) => queued === run);
        this.#endRun(run, "stopped", "stopped before its start");
        return;
      case "starting":
      case "uncertain":
      case "interrupted":
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
    const name = `${workerId} ${task} ${run}`;
    if (workerId === undefined || this.#openStops.has(name)) {
      return;
    }
    this.#openStops.add(name);
    const fence = this.#fence.value;
    const reply = await this.#options.control.stopRun({
      workerId,
      fence,
      timeoutMs: STOP_TIMEOUT_MS,
      task,
      run,
    });
    this.#openStops.delete(name);
    if (reply.isErr()) {
      // If a later lease report still lists the run, it is stopped again.
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
    const isOtherIncarnation = reply.bornAtMs !== undefined &&
      reply.bornAtMs !== this.#worker?.bornAtMs;
    if (reply.workerClockMs !== undefined && !isOtherIncarnation) {
      this.#clock.record(reply.workerClockMs, this.#getTime());
    }
  }

  #endRun(run: LocalRun, outcome: RunOutcome, detail: string): void {
    if (this.#runs.get(run.task) === run) {
      this.#runs.delete(run.task);
    }
    this.#reportEnd(run, outcome, detail);
  }

  #reportEnd(run: LocalRun, outcome: RunOutcome, detail: string): void {
    const runMs = run.startedAt === 0
      ? 0
      : Math.max(1, Math.round(this.#getTime() - run.startedAt));
    const { metrics } = this.#options;
    metrics.incrementCounter("runs", 1, { labels: { outcome } });
    if (outcome === "done") {
      metrics.recordTime("run", runMs);
    }
    const { stopRequest } = run;
    this.#options.log.record("run_ended", {
      job: run.jobId,
      task: run.task,
      run: run.run,
      outcome,
      detail: detail === "" ? undefined : detail,
      runMs,
      stopReason: stopRequest?.reason,
      stoppedBy: stopRequest?.entry,
      stopMs: stopRequest &&
        Math.round(this.#getTime() - stopRequest.requestedAt),
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

/**
 * @param isConfirmed - Whether the worker has confirmed the start. A start after
 * the connection had broken is no evidence against the run, even so.
 */
function createCrashedRun(
  run: LocalRun,
  end: WorkerEnd,
  isConfirmed: boolean,
): CrashedRun {
  const { task, route, startedAt, crashes } = run;
  return {
    task,
    route,
    ranMs: Math.max(0, Math.round(end.at - startedAt)),
    hasStarted: isConfirmed && startedAt <= end.at,
    earlierCrashes: crashes,
  };
}

/**
 * Returns whether a run is known to have ended with the incarnation to which its
 * start was sent.
 */
function hasEndedWithWorker(
  run: LocalRun,
  { sentAt }: IncarnationEvidence,
): boolean {
  switch (run.state) {
    case "queued":
    case "starting":
    case "interrupted":
      return false;
    case "running":
    case "stopping":
    case "uncertain":
      return run.isConfirmed === true ||
        (run.answeredAt !== undefined && sentAt !== undefined &&
          run.answeredAt < sentAt);
    default:
      return run.state satisfies never;
  }
}

function isSameIncarnation(
  worker: WorkerDescription,
  known: WorkerDescription,
): boolean {
  return worker.workerId === known.workerId &&
    worker.bornAtMs === known.bornAtMs;
}

/**
 * Returns whether two descriptions of one worker agree in what decides which tasks it may
 * run and where it is. The room for a task is checked at its start.
 */
function hasSameTraits(a: WorkerDescription, b: WorkerDescription): boolean {
  return a.service === b.service && a.zone === b.zone && a.rack === b.rack &&
    a.labels.length === b.labels.length &&
    a.labels.every((label, index) => label === b.labels[index]);
}

/** Returns whether a reported incarnation may be the one after the known one. */
function canFollow(
  worker: WorkerDescription,
  known: WorkerDescription | undefined,
  { bornAtMs, isOtherWorker }: IncarnationEvidence,
): boolean {
  const hasSameId = worker.workerId === known?.workerId;
  if (bornAtMs !== undefined) {
    return hasSameId && worker.bornAtMs === bornAtMs;
  }
  return isOtherWorker !== true || !hasSameId;
}

/**
 * Returns whether a worker has crashed under the run's task, and the run has not
 * passed the point of that crash.
 */
function isSuspect(run: LocalRun, now: number): boolean {
  return run.crashes > 0 &&
    (run.state === "queued" ||
      now < run.startedAt + run.crashedAfterMs + SAME_POINT_TOLERANCE_MS);
}

/** Rounds a ratio to three decimals, which keeps its message short. */
function round(ratio: number): number {
  return Math.round(ratio * 1_000) / 1_000;
}
