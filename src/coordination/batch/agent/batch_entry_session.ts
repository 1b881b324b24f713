import type { EventLog, PeerStream } from "../../ports/mod.ts";
import type {
  BatchBody,
  BatchFrame,
  BatchHello,
  CancelReason,
  JobClaimReply,
  JobConfirmation,
  JobGrant,
  RunEnd,
  StartRuns,
  WorkerCrashReport,
  WorkerStatus,
} from "../../messages/mod.ts";
import { BATCH_LIMITS } from "../batch_limits.ts";
import { BatchStream } from "../batch_stream.ts";
import {
  type OperatorFollower,
  OperatorStateExchange,
} from "../directory/mod.ts";
import type { AwaitedGrants } from "./awaited_grants.ts";
import type { ClaimOwner } from "./claim_owner.ts";
import type { ClockOffsets } from "./clock_offsets.ts";
import type { JobClaimTable } from "./job_claim_table.ts";
import { isStatusKnown } from "./is_status_known.ts";
import { OpenJobsNotice } from "./open_jobs_notice.ts";
import type { RunOwner } from "./run_owner.ts";
import type { WorkerDescription } from "./worker_description.ts";
import type { WorkerRunner } from "./worker_runner.ts";

export interface BatchEntrySessionOptions {
  stream: PeerStream<BatchFrame>;
  runner: WorkerRunner;
  claims: JobClaimTable;
  clockOffsets: ClockOffsets;
  operatorFollower: OperatorFollower;
  /** Receives the log events of this process. */
  log: EventLog;
  /** Name of this agent. */
  name: string;
  /** Identifies one start of the agent process. */
  incarnation: string;
  /** Returns the number of connected entries that are heard. */
  countHeardEntries: () => number;
  /** Gets the crashes that a newly connected entry is told. */
  getCrashes: () => WorkerCrashReport[];
  /**
   * Closes the sessions of earlier streams of the same entry. Returns false if a
   * later one is open.
   */
  closeEarlierSessions: (session: BatchEntrySession) => boolean;
  /** Requests that the agent announces itself again. */
  requestAnnouncement: () => void;
  /** Stops the runs of a job in all sessions. */
  cancelJob: (
    jobId: string,
    requester: BatchEntrySession,
    reason: CancelReason,
  ) => void;
  /** The claims for which orders wait at this agent. */
  awaitedGrants: AwaitedGrants;
  /** Handles that another agent, or this one, has granted a claim. */
  handleGrant: (grant: JobGrant) => void;
  /** Finds the jobs that entries are told of; undefined if not known yet. */
  findOpenJobs: (session: BatchEntrySession) => string[] | undefined;
  getTime?: () => number;
}

/**
 * The agent's side of one stream from an entry, or from another agent, which only
 * tells of grants and says no hello. When the entry has not
 * acknowledged a recent frame of the agent, its runs are stopped and no new
 * ones are started.
 */
export class BatchEntrySession implements RunOwner, ClaimOwner {
  readonly #options: BatchEntrySessionOptions;
  readonly #getTime: () => number;
  readonly #stream: BatchStream;
  /** The entry's hello; undefined until it has arrived. */
  #hello: BatchHello | undefined;
  readonly #openedAt: number;
  #isClosed = false;
  #frameCount = 0;
  /** An entry is not responsive until it has acknowledged a frame. */
  #isUnresponsive = true;
  #receivedBatch = 0;
  #pendingEnds: RunEnd[] = [];
  #pingReceivedAt: number | undefined;
  /** Profile of the worker that the entry was last told, as JSON. */
  #sentProfile = "";
  #profiledWorker: WorkerDescription | undefined;
  /** The status that the entry was last told, and when. */
  #sentStatus: { value: WorkerStatus; at: number } | undefined;
  readonly #operatorState: OperatorStateExchange;
  readonly #openJobsNotice = new OpenJobsNotice();
  /** Grants that the entry is told with the next frame. */
  #pendingGrants: JobClaimReply[] = [];

  constructor(options: BatchEntrySessionOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
    this.#openedAt = this.#getTime();
    this.#stream = new BatchStream(options.stream, { getTime: this.#getTime });
    this.#operatorState = new OperatorStateExchange({
      operatorFollower: options.operatorFollower,
      send: (body) => this.#stream.send(body),
      getName: () => this.name,
    });
  }

  get name(): string {
    return this.#hello?.name ?? "";
  }

  get incarnation(): string {
    return this.#hello?.incarnation ?? "";
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  get frameCount(): number {
    return this.#frameCount;
  }

  isResponsive(): boolean {
    return !this.#isClosed &&
      this.#getTime() - this.#stream.acknowledgedSentAt <
        BATCH_LIMITS.entryTimeoutMs;
  }

  /** Gets whether the entry responds, or has just connected. */
  get isHeard(): boolean {
    return !this.#isClosed &&
      (this.isResponsive() ||
        this.#getTime() - this.#openedAt < BATCH_LIMITS.entryTimeoutMs);
  }

  /** Returns whether an entry opened this stream before that of the other. */
  isEarlierThan(other: BatchEntrySession): boolean {
    const own = this.#hello;
    const hello = other.#hello;
    return own !== undefined && hello !== undefined &&
      own.name === hello.name && own.incarnation === hello.incarnation &&
      own.stream < hello.stream;
  }

  /**
   * Closes the stream. Orders on it that arrive later are ignored: the entry may
   * have been told that no run of this stream can be executing.
   */
  close(): void {
    this.#isClosed = true;
    this.#stream.close();
  }

  /**
   * Queues the end of a run. All ends of one turn of the event loop are sent in
   * one frame, and the status that follows goes out in the same write.
   */
  handleEnd(end: RunEnd): void {
    if (this.#pendingEnds.length === 0) {
      queueMicrotask(() => this.#sendEnds());
    }
    this.#pendingEnds.push(end);
  }

  /** Reports the crash of a worker to the entry. */
  sendCrash(report: WorkerCrashReport): void {
    this.#stream.send({ case: "workerCrash", value: report });
  }

  sendCancel(jobId: string, reason: CancelReason): void {
    this.#stream.send({ case: "cancelJob", value: { jobId, reason } });
  }

  sendClaimReply(reply: JobClaimReply, options = { canWait: false }): void {
    if (options.canWait) {
      this.#pendingGrants.push(reply);
    } else {
      this.#stream.send({ case: "claimReply", value: reply });
    }
  }

  /** Sends the grants that were kept back, in one write with another frame. */
  #sendPendingGrants(): void {
    const replies = this.#pendingGrants;
    this.#pendingGrants = [];
    replies.forEach((reply) => this.sendClaimReply(reply));
  }

  requestConfirmation(jobId: string, number: number): void {
    this.#stream.send({ case: "confirmJob", value: { jobId, number } });
  }

  /** Sends the jobs that the entry must know of, if that is due. */
  sendOpenJobs(jobIds: string[]): void {
    if (this.#hello === undefined) {
      return;
    }
    const value = this.#openJobsNotice.update(jobIds, this.#getTime());
    if (value !== undefined) {
      this.#stream.send({ case: "openJobs", value });
    }
  }

  /** Serves the stream until it ends. */
  async serve(): Promise<void> {
    const { name, incarnation, runner, claims, log } = this.#options;
    const uptimeMs = Math.floor(claims.uptimeMs);
    const hello = { name, incarnation, stream: 0, uptimeMs };
    this.#stream.send({ case: "hello", value: hello });
    this.#options.getCrashes().forEach((report) => this.sendCrash(report));
    let reason: string | undefined;
    try {
      await this.#stream.receive((body) => {
        this.#frameCount++;
        this.#recordClockOffset();
        this.#checkResponsiveness();
        this.#handleFrame(body);
      });
    } catch (error) {
      reason = (error as Error).message;
    } finally {
      this.#isClosed = true;
      this.#operatorState.close();
      if (this.#hello !== undefined) {
        log.record("entry_lost", { entry: this.name, reason });
        runner.stopWhere((run) => run.owner === this, "entry_lost");
      }
    }
  }

  /**
   * Answers a ping unless a frame sent since then has acknowledged it, and
   * stops the runs of an entry that no longer responds.
   */
  runPeriodicChecks(): void {
    this.#sendPendingGrants();
    if (
      this.#pingReceivedAt !== undefined &&
      this.#stream.sentAt < this.#pingReceivedAt
    ) {
      const operatorOffset = this.#options.operatorFollower.state.offset;
      this.#stream.send({ case: "ping", value: { operatorOffset } });
    }
    this.#pingReceivedAt = undefined;
    this.#checkResponsiveness();
  }

  #checkResponsiveness(): void {
    const isUnresponsive = !this.isResponsive();
    const hasAcknowledged = this.#stream.acknowledgedSentAt > -Infinity;
    if (isUnresponsive && !this.#isUnresponsive && hasAcknowledged) {
      this.#options.log.record("entry_silent", {
        entry: this.name,
        proofAgeMs: Math.round(
          this.#getTime() - this.#stream.acknowledgedSentAt,
        ),
      });
      this.#options.runner.stopWhere(
        (run) => run.owner === this,
        "entry_silent",
      );
    }
    const hasReturned = this.#isUnresponsive && !isUnresponsive;
    this.#isUnresponsive = isUnresponsive;
    if (hasReturned) {
      this.#options.runner.processQueue();
    }
  }

  /**
   * Sends the state and load of the worker to the entry. Before its hello, it is
   * not known which runs are those of the entry.
   * @param options.canSkip - Whether to send nothing that the entry knows already.
   */
  sendStatus(
    status = this.#options.runner.getStatus(),
    { canSkip } = { canSkip: false },
  ): void {
    const { runner } = this.#options;
    if (this.#hello === undefined) {
      return;
    }
    const value = {
      ...status,
      isSettled: !runner.canHaveRunsOfEarlierSessions(this),
      receivedBatch: this.#receivedBatch,
      entries: this.#options.countHeardEntries(),
    };
    const hasSentProfile = this.#sendChangedProfile();
    if (canSkip && !hasSentProfile && this.#isKnown(value)) {
      return;
    }
    this.#sendPendingGrants();
    this.#sentStatus = { value, at: this.#getTime() };
    this.#stream.send({ case: "workerStatus", value });
  }

  /**
   * Returns whether the entry knows a status already. Grants that wait for a frame are
   * sent with it.
   */
  #isKnown(status: WorkerStatus): boolean {
    const now = this.#getTime();
    return this.#sentStatus !== undefined &&
      this.#pendingGrants.length === 0 &&
      isStatusKnown(status, {
        value: this.#sentStatus.value,
        ageMs: now - this.#sentStatus.at,
        silenceMs: now - this.#stream.sentAt,
      });
  }

  /** Returns whether the profile had changed and was sent; a status must follow. */
  #sendChangedProfile(): boolean {
    const { runner } = this.#options;
    if (this.#sentProfile !== "" && runner.worker === this.#profiledWorker) {
      return false;
    }
    this.#profiledWorker = runner.worker;
    const value = runner.getProfile();
    const profile = JSON.stringify(value);
    if (profile === this.#sentProfile) {
      return false;
    }
    this.#sentProfile = profile;
    this.#stream.send({ case: "workerProfile", value });
    return true;
  }

  #handleFrame(body: BatchBody): void {
    const { runner } = this.#options;
    switch (body.case) {
      case "hello":
        this.#handleHello(body.value);
        return;
      case "announce":
        this.#options.requestAnnouncement();
        return;
      case "ping":
        this.#handlePing(body.value.operatorOffset);
        return;
      case "startRuns":
        this.#handleStartRuns(body.value);
        return;
      case "stopRuns": {
        const tasks = new Set(body.value.tasks);
        runner.stopWhere(
          (run) => run.owner === this && tasks.has(run.task),
          "ordered",
        );
        return;
      }
      case "readOperatorState":
        this.#operatorState.handleRequest(body.value);
        return;
      case "operatorStatePart":
        this.#operatorState.handlePart(body.value);
        return;
      case "cancelJob":
        this.#handleCancel(body.value.jobId, body.value.reason);
        return;
      case "jobGranted":
        this.#options.handleGrant(body.value);
        return;
      case "confirmJob":
        this.#handleConfirmation(body.value);
        return;
      case "claimJob":
        if (!this.#isClosed) {
          const { value } = body;
          const arrivedAt = this.#getJobArrival(value.ageMs);
          this.#options.claims.claim(this, value, arrivedAt);
        }
        return;
      case "releaseJobs":
        this.#options.claims.release(this, body.value.jobIds);
        return;
      case "claimReply":
      case "runEnds":
      case "workerCrash":
      case "workerProfile":
      case "workerStatus":
      case "openJobs":
        return;
      default:
        body satisfies never;
    }
  }

  #handleHello(hello: BatchHello): void {
    const { name, incarnation, stream } = hello;
    this.#hello = hello;
    this.#recordClockOffset();
    this.#options.log.record("entry_found", {
      entry: name,
      incarnation,
      stream,
    });
    if (!this.#options.closeEarlierSessions(this)) {
      this.close();
      return;
    }
    this.#options.runner.stopWhere(
      (run) => run.owner.name === name && run.owner !== this,
      "entry_reconnected",
    );
    // Before the status, with which the entry may start to place jobs.
    const openJobs = this.#options.findOpenJobs(this);
    if (openJobs !== undefined) {
      this.sendOpenJobs(openJobs);
    }
    this.sendStatus();
  }

  #handleCancel(jobId: string, reason: CancelReason): void {
    this.#openJobsNotice.recordStop(jobId);
    this.#options.cancelJob(jobId, this, reason);
  }

  #handleConfirmation(confirmation: JobConfirmation): void {
    const { awaitedGrants, runner } = this.#options;
    const { name: entry, incarnation } = this;
    if (
      awaitedGrants.handleConfirmation({ entry, incarnation }, confirmation)
    ) {
      runner.processQueue();
    }
  }

  #recordClockOffset(): void {
    if (this.#hello !== undefined) {
      const { clockOffsets } = this.#options;
      const offsetMs = this.#getTime() - this.#stream.frameSentAt;
      clockOffsets.record(this.name, this.incarnation, offsetMs);
    }
  }

  /**
   * Gets when the entry got a job of the frame that is being handled, on this
   * process's monotonic clock. The frame may have waited while this process or the
   * link stood still.
   * @param ageMs - Age of the job when the frame was sent, in milliseconds.
   */
  #getJobArrival(ageMs: number): number {
    const { clockOffsets } = this.#options;
    return this.#stream.frameSentAt - ageMs +
      clockOffsets.get(this.name, this.incarnation);
  }

  #handlePing(operatorOffset: number): void {
    const { operatorFollower } = this.#options;
    this.#sendPendingGrants();
    this.#pingReceivedAt = this.#getTime();
    const { offset } = operatorFollower.state;
    if (operatorOffset < offset) {
      this.#stream.send({ case: "ping", value: { operatorOffset: offset } });
    } else {
      this.#operatorState.handleOffset(operatorOffset);
    }
  }

  #handleStartRuns(message: StartRuns): void {
    const { runner, log } = this.#options;
    if (this.#isClosed) {
      log.record("start_ignored", {
        job: message.jobId,
        entry: this.name,
        reason: "a later stream of the entry is open",
      });
      return;
    }
    const now = this.#getTime();
    this.#receivedBatch = message.batch;
    const { jobId } = message;
    const jobArrivedAt = this.#getJobArrival(message.ageMs);
    const isRefused = !this.#options.claims.canStart(
      jobId,
      this,
      jobArrivedAt,
    );
    const awaitedGrant = message.awaitedHomes === 0
      ? undefined
      : this.#options.awaitedGrants.add({
        owner: this,
        jobId,
        number: message.claimNumber,
        homeCount: message.awaitedHomes,
      });
    for (const order of message.runs) {
      if (isRefused) {
        this.handleEnd({
          ...{ task: order.task, run: order.run, outcome: "returned" },
          ...{ runMs: 0, detail: "another entry has claimed the job" },
        });
        continue;
      }
      runner.add({
        task: order.task,
        run: order.run,
        jobId: message.jobId,
        jobArrivedAt,
        workerRevision: message.workerRevision,
        route: message.route,
        crashes: order.crashes,
        crashedAfterMs: order.crashedAfterMs,
        canBeDeclined: order.canBeDeclined,
        detourMs: message.detourMs,
        spec: message.spec,
        owner: this,
        awaitedGrant,
        resources: {
          cpuMillis: order.cpuMillis,
          memoryMb: order.memoryMb,
          gpus: order.gpus,
        },
        priority: message.priority,
        expectedMs: order.expectedMs,
        arrivedAt: now,
        deadlineAt: now + message.timeLeftMs,
        latencyTargetAt: now + message.targetLeftMs,
        recheckAt: now + (order.recheckAfterMs ?? Infinity),
        state: "queued",
        isStopRequested: false,
        minReportFence: 0,
        startedAt: 0,
        stopSentAt: 0,
        missedReports: 0,
      });
    }
    runner.processQueue();
  }

  #sendEnds(): void {
    const ends = this.#pendingEnds;
    this.#pendingEnds = [];
    this.#stream.send({ case: "runEnds", value: { ends } });
    this.sendStatus();
  }
}
