import { setTimeout as wait } from "node:timers/promises";
import type { WorkerLoad, WorkerOffer } from "../../../state/batch/mod.ts";
import type { EventLog, PeerConnector } from "../../ports/mod.ts";
import type {
  BatchBody,
  BatchFrame,
  CancelReason,
  JobClaim,
  JobClaimReply,
  JobConfirmation,
  OpenJobsChange,
  RunEnd,
  StartRuns,
  WorkerCrashReport,
  WorkerProfile,
  WorkerStatus,
} from "../../messages/mod.ts";
import { BATCH_LIMITS } from "../batch_limits.ts";
import { BatchStream } from "../batch_stream.ts";
import { getClaimExpiryMs } from "../get_claim_expiry_ms.ts";
import { getRunExpiryMs } from "../get_run_expiry_ms.ts";
import {
  type MemberRecord,
  type OperatorFollower,
  OperatorStateExchange,
} from "../directory/mod.ts";
import type { AgentStream } from "./agent_stream.ts";
import type { ClaimHome } from "./claim_home.ts";
import { mergeOffers } from "./merge_offers.ts";
import { ReportedLoad } from "./reported_load.ts";

/** Interval of the checks of a link, in milliseconds. */
const CHECK_INTERVAL_MS = BATCH_LIMITS.linkCheckIntervalMs;

/**
 * Time without a frame from an agent after which it gets no new tasks, in
 * milliseconds.
 */
const SUSPECT_TIMEOUT_MS = 450;

/**
 * Time in which other entries learn that this one doesn't reach an agent, in
 * milliseconds. The agent counts an entry as connected for `entryTimeoutMs` after its
 * last frame; before the first stream, that may be one of the former process. Such a
 * frame may have come right before the start of this one, hence the additional time.
 * After a loss the time also covers the lease of runs of other entries, since a home
 * that restarts has forgotten their claims.
 */
const DOUBT_MS = {
  lost: getClaimExpiryMs("closed"),
  neverReached: BATCH_LIMITS.entryTimeoutMs + BATCH_LIMITS.agentTimeoutMs,
} as const;

/**
 * Time after the start of an agent, or without a status from it, for which it may have a
 * worker that isn't known yet, in milliseconds. Workers that crash are away, and links
 * are cut, for up to 5.5 s; then the stream opens again, and the worker reports.
 */
const UNKNOWN_WORKER_MS = 8_000;

/** Delays between attempts to open the stream, in milliseconds. */
const REOPEN_DELAY_MS = {
  first: 50,
  max: BATCH_LIMITS.maxReopenDelayMs,
} as const;

export interface BatchAgentLinkOptions {
  member: MemberRecord;
  peers: PeerConnector<BatchFrame>;
  operatorFollower: OperatorFollower;
  /** Receives the log events of this process. */
  log: EventLog;
  /** Name of this entry. */
  name: string;
  /** Identifies one start of the process; differs after each restart. */
  incarnation: string;
  /** Creates a number that is higher than those of all earlier streams. */
  createStreamNumber: () => number;
  onRunEnds: (stream: AgentStream, ends: readonly RunEnd[]) => void;
  /** Called when the agent's worker has crashed, before its runs end. */
  onWorkerCrash: (agentId: string, report: WorkerCrashReport) => void;
  /** Called when a stream is lost; its runs may still be executing. */
  onLost: (stream: AgentStream) => void;
  onClaimReply: (home: ClaimHome, reply: JobClaimReply) => void;
  /** Called when orders wait at the agent, and it doesn't know of all grants. */
  onConfirmationRequested: (
    home: ClaimHome,
    question: JobConfirmation,
  ) => void;
  /** Called when another entry has had a job stopped. */
  onJobCancelled: (
    agentId: string,
    jobId: string,
    reason: CancelReason,
  ) => void;
  /**
   * Called when no run can be executing that was ordered at the agent before the
   * given stream.
   */
  onEarlierRunsEnded: (stream: AgentStream) => void;
  getTime?: () => number;
}

/**
 * The entry's side of the streams to one agent. `run` opens a stream, serves it
 * until it breaks or no frames arrive any more, and opens the next one.
 */
export class BatchAgentLink implements ClaimHome {
  readonly #options: BatchAgentLinkOptions;
  readonly #getTime: () => number;
  #stream: BatchStream | undefined;
  /** Identifies the current stream, or the last one. */
  #streamId: AgentStream;
  #status: WorkerStatus | undefined;
  #lastService = "";
  #offer: WorkerOffer | undefined;
  #lastBatch = 0;
  readonly #load: ReportedLoad;
  /**
   * Time since the last frame from the agent, in milliseconds, without the time
   * in which this process was paused.
   */
  #silenceMs = 0;
  #hasReportedRunsEnded = false;
  /** Jobs of any entry that the agent last said to have runs of. */
  #openJobs = new Set<string>();
  /** When what the agent of a lost stream has said expires. */
  #openJobsExpireAt = Infinity;
  /** Time of the first attempt to connect, in milliseconds; `Infinity` after its end. */
  #connectingMs = 0;
  /**
   * Time for which the agent can't have kept claims, in milliseconds, without the time
   * in which this process was paused.
   */
  #unreachedMs = 0;
  #hasBeenReached = false;
  /** When the agent's process started to keep claims. */
  #agentStartedAt = Infinity;
  #releasedJobs: string[] = [];
  #isStopped = false;
  readonly #operatorState: OperatorStateExchange;

  constructor(options: BatchAgentLinkOptions) {
    this.#options = options;
    this.#operatorState = new OperatorStateExchange({
      operatorFollower: options.operatorFollower,
      send: (body) => this.#stream?.send(body),
      getName: () => this.agentId,
    });
    this.#getTime = options.getTime ?? (() => performance.now());
    const { name, address } = options.member;
    this.#streamId = { agentId: name, address, number: 0 };
    this.#load = new ReportedLoad(name);
  }

  /** Gets the name of the agent. */
  get agentId(): string {
    return this.#options.member.name;
  }

  get streamNumber(): number {
    return this.#streamId.number;
  }

  get canKeepClaims(): boolean {
    return this.hasStatus && this.#silenceMs < SUSPECT_TIMEOUT_MS;
  }

  get isConnecting(): boolean {
    return this.#connectingMs < BATCH_LIMITS.agentTimeoutMs;
  }

  get hasBeenReached(): boolean {
    return this.#hasBeenReached;
  }

  get isInDoubt(): boolean {
    const limitMs = this.#hasBeenReached
      ? DOUBT_MS.lost
      : DOUBT_MS.neverReached;
    return !this.canKeepClaims && this.#unreachedMs < limitMs;
  }

  get entryCount(): number {
    return this.#status?.entries ?? 0;
  }

  get uptimeMs(): number {
    return this.#getTime() - this.#agentStartedAt;
  }

  get proofAgeMs(): number {
    return this.#getTime() - (this.#stream?.acknowledgedSentAt ?? -Infinity);
  }

  get address(): string {
    return this.#options.member.address;
  }

  /** Gets the service of the agent's worker, or of the last one that it had. */
  get lastService(): string {
    return this.#lastService;
  }

  /**
   * Gets what the agent's workers have offered, with the largest capacity seen;
   * undefined before the first worker.
   */
  get offer(): WorkerOffer | undefined {
    return this.#offer;
  }

  /** Gets whether the agent may have a worker that it hasn't told of yet. */
  get canHaveUnknownWorker(): boolean {
    if (this.#offer !== undefined) {
      return false;
    }
    const withoutWorkerMs = this.#hasBeenReached
      ? this.uptimeMs
      : this.#unreachedMs;
    return withoutWorkerMs < UNKNOWN_WORKER_MS;
  }

  /** Gets whether the agent has reported its status on the current stream. */
  get hasStatus(): boolean {
    return this.#status !== undefined;
  }

  /**
   * Gets whether frames of the agent arrive and its worker accepts work.
   */
  get isUsable(): boolean {
    return this.#status?.acceptsWork === true &&
      this.#silenceMs < SUSPECT_TIMEOUT_MS;
  }

  /**
   * Gets the load of the worker, with the tasks sent since its last report;
   * undefined when it doesn't accept work of the service.
   */
  getLoad(service: string): WorkerLoad | undefined {
    return this.isUsable && this.#load.profile?.service === service
      ? this.#load.get()
      : undefined;
  }

  /**
   * Orders the agent to start tasks of one job on the worker by whose profile they were
   * placed.
   * @returns The stream of the order; undefined if there is none, or no profile on it.
   */
  startRuns(message: Omit<StartRuns, "batch">): AgentStream | undefined {
    const { profile } = this.#load;
    if (this.#stream === undefined || profile === undefined) {
      return undefined;
    }
    this.#lastBatch++;
    const value: StartRuns = {
      ...message,
      batch: this.#lastBatch,
      workerRevision: profile.revision > 0 ? profile.revision : undefined,
    };
    this.#load.addStart(value);
    this.#sendReleasedJobs();
    this.#stream.send({ case: "startRuns", value });
    return this.#streamId;
  }

  /** Orders the agent to stop tasks. */
  stopRuns(tasks: string[]): void {
    this.#stream?.send({ case: "stopRuns", value: { tasks } });
  }

  /** Orders the agent to stop a job, which another entry may coordinate. */
  cancelJob(jobId: string, reason: CancelReason): void {
    this.#stream?.send({ case: "cancelJob", value: { jobId, reason } });
  }

  claimJob(claim: JobClaim): void {
    this.#sendReleasedJobs();
    this.#stream?.send({ case: "claimJob", value: claim });
  }

  requestClaimReplies(): void {
    this.#sendPing();
  }

  confirmJob(confirmation: JobConfirmation): void {
    this.#stream?.send({ case: "confirmJob", value: confirmation });
  }

  releaseJobs(
    jobIds: readonly string[],
    { canWait }: { canWait: boolean },
  ): void {
    if (this.#stream !== undefined) {
      this.#releasedJobs.push(...jobIds);
    }
    if (!canWait) {
      this.#sendReleasedJobs();
    }
  }

  #sendReleasedJobs(): void {
    if (this.#releasedJobs.length > 0) {
      const jobIds = this.#releasedJobs;
      this.#releasedJobs = [];
      this.#stream?.send({ case: "releaseJobs", value: { jobIds } });
    }
  }

  /**
   * Returns whether the agent has said that it has runs of a job, which this
   * entry or another one may have ordered.
   */
  hasOpenJob(jobId: string): boolean {
    return this.#openJobs.has(jobId) &&
      this.#getTime() < this.#openJobsExpireAt;
  }

  /** Asks the agent to announce itself again. */
  requestAnnouncement(): void {
    this.#stream?.send({ case: "announce", value: {} });
  }

  /** Maintains a stream to the agent until `stop` is called. */
  async run(): Promise<void> {
    let reopenDelayMs: number = REOPEN_DELAY_MS.first;
    while (!this.#isStopped) {
      const hadStatus = await this.#serveStream();
      reopenDelayMs = hadStatus
        ? REOPEN_DELAY_MS.first
        : Math.min(REOPEN_DELAY_MS.max, reopenDelayMs * 2);
      await wait(reopenDelayMs * (0.5 + Math.random()));
    }
  }

  stop(): void {
    this.#isStopped = true;
    this.#stream?.close();
  }

  /**
   * Serves one stream until its end.
   * @returns Whether the agent reported its status on it.
   */
  async #serveStream(): Promise<boolean> {
    const { peers, name, incarnation, log, onLost } = this.#options;
    const peerStream = peers.open(this.address);
    const stream = new BatchStream(peerStream, { getTime: this.#getTime });
    this.#stream = stream;
    const streamId: AgentStream = {
      agentId: this.agentId,
      address: this.address,
      number: this.#options.createStreamNumber(),
    };
    this.#streamId = streamId;
    this.#silenceMs = 0;
    this.#lastBatch = 0;
    this.#hasReportedRunsEnded = false;
    const hello = {
      name,
      incarnation,
      stream: streamId.number,
      uptimeMs: 0,
    };
    stream.send({ case: "hello", value: hello });
    this.#sendPing();
    let reason = "silent";
    try {
      await stream.receive((body) => {
        this.#silenceMs = 0;
        this.#handleFrame(body);
      });
      reason = "closed";
    } catch (error) {
      reason = this.#silenceMs > BATCH_LIMITS.agentTimeoutMs
        ? "silent"
        : (error as Error).message;
    }
    stream.close();
    this.#operatorState.close();
    const hadStatus = this.#status !== undefined;
    this.#stream = undefined;
    this.#status = undefined;
    this.#load.clear();
    this.#releasedJobs = [];
    this.#connectingMs = Infinity;
    this.#openJobsExpireAt = this.#getTime() + getRunExpiryMs();
    if (hadStatus) {
      log.record("agent_lost", { agent: this.agentId, reason });
      onLost(streamId);
    }
    return hadStatus;
  }

  /**
   * Sends pings, and closes the stream when no frames arrive. Called once in each
   * `linkCheckIntervalMs`; counts these calls, so that time in which this process was
   * paused is left out.
   */
  runPeriodicChecks(): void {
    this.#unreachedMs = this.canKeepClaims
      ? 0
      : this.#unreachedMs + CHECK_INTERVAL_MS;
    const stream = this.#stream;
    if (stream === undefined) {
      return;
    }
    this.#silenceMs += CHECK_INTERVAL_MS;
    this.#connectingMs += CHECK_INTERVAL_MS;
    if (this.#silenceMs > BATCH_LIMITS.agentTimeoutMs) {
      stream.close();
    } else if (
      this.#getTime() - stream.sentAt >= BATCH_LIMITS.pingIntervalMs
    ) {
      this.#sendPing();
    }
  }

  #sendPing(): void {
    this.#sendReleasedJobs();
    const operatorOffset = this.#options.operatorFollower.state.offset;
    this.#stream?.send({ case: "ping", value: { operatorOffset } });
  }

  #handleFrame(body: BatchBody): void {
    const { onRunEnds, log } = this.#options;
    switch (body.case) {
      case "hello":
        log.record("agent_found", {
          agent: this.agentId,
          incarnation: body.value.incarnation,
          uptimeMs: body.value.uptimeMs,
        });
        this.#agentStartedAt = this.#getTime() - body.value.uptimeMs;
        return;
      case "ping":
        this.#operatorState.handleOffset(body.value.operatorOffset);
        return;
      case "readOperatorState":
        this.#operatorState.handleRequest(body.value);
        return;
      case "operatorStatePart":
        this.#operatorState.handlePart(body.value);
        return;
      case "runEnds":
        onRunEnds(this.#streamId, body.value.ends);
        return;
      case "workerCrash":
        this.#options.onWorkerCrash(this.agentId, body.value);
        return;
      case "workerProfile":
        this.#handleProfile(body.value);
        return;
      case "workerStatus":
        this.#handleStatus(body.value);
        return;
      case "cancelJob":
        this.#handleCancel(body.value.jobId, body.value.reason);
        return;
      case "claimReply":
        this.#options.onClaimReply(this, body.value);
        return;
      case "confirmJob":
        this.#options.onConfirmationRequested(this, body.value);
        return;
      case "openJobs":
        this.#handleOpenJobs(body.value);
        return;
      case "announce":
      case "claimJob":
      case "jobGranted":
      case "releaseJobs":
      case "startRuns":
      case "stopRuns":
        return;
      default:
        body satisfies never;
    }
  }

  #handleOpenJobs(change: OpenJobsChange): void {
    if (change.isComplete) {
      this.#openJobs.clear();
    }
    change.openJobIds.forEach((jobId) => this.#openJobs.add(jobId));
    change.endedJobIds.forEach((jobId) => this.#openJobs.delete(jobId));
    this.#openJobsExpireAt = Infinity;
  }

  #handleCancel(jobId: string, reason: CancelReason): void {
    this.#options.onJobCancelled(this.agentId, jobId, reason);
  }

  /** Handles a change of the worker; its status follows. */
  #handleProfile(profile: WorkerProfile): void {
    if (this.#load.profile?.workerId !== profile.workerId) {
      this.#options.log.record("worker_profile", {
        agent: this.agentId,
        ...profile,
      });
    }
    this.#load.setProfile(profile);
    if (profile.service !== "") {
      const hasChanged = profile.service !== this.#lastService;
      this.#lastService = profile.service;
      this.#offer = mergeOffers(hasChanged ? undefined : this.#offer, profile);
    }
  }

  #handleStatus(status: WorkerStatus): void {
    const { profile } = this.#load;
    if (profile === undefined) {
      return;
    }
    const previous = this.#status;
    this.#status = status;
    this.#hasBeenReached = true;
    this.#connectingMs = Infinity;
    this.#load.setStatus(status, this.#getTime());
    if (previous?.acceptsWork !== status.acceptsWork) {
      this.#options.log.record("worker_status", {
        agent: this.agentId,
        workerId: profile.workerId,
        acceptsWork: status.acceptsWork,
        zone: profile.zone,
      });
    }
    if (status.isSettled && !this.#hasReportedRunsEnded) {
      this.#hasReportedRunsEnded = true;
      this.#options.onEarlierRunsEnded(this.#streamId);
    }
  }
}
