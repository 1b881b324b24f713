import {
  type BatchJob,
  decideIntake,
  DeclinePolicy,
  getResponseTimes,
  type IntakeDecision,
  type Route,
  type WorkerLoad,
  type WorkerOffer,
} from "../../../state/batch/mod.ts";
import { err, ok, type Result } from "neverthrow";
import type { DispatchError } from "../../../state/errors/mod.ts";
import type { Metrics } from "../../../state/metrics/mod.ts";
import type { BatchFrame, CancelReason } from "../../messages/mod.ts";
import type { EventLog, KeyedStore, PeerConnector } from "../../ports/mod.ts";
import {
  type MemberRecord,
  OperatorFollower,
  type OperatorRecordParser,
  TopicFollower,
} from "../directory/mod.ts";
import { AgentRecords } from "./agent_records.ts";
import type { AgentStream } from "./agent_stream.ts";
import { BatchAgentLink } from "./batch_agent_link.ts";
import { BATCH_LIMITS } from "../batch_limits.ts";
import type { BatchAnswer } from "./batch_answer.ts";
import { BatchJobRun } from "./batch_job_run.ts";
import type { CallerSignal } from "./caller_signal.ts";
import type { ClaimNeed } from "./claim_need.ts";
import type { JobArrival } from "./job_arrival.ts";
import { JobClaims } from "./job_claims.ts";
import { JobHold } from "./job_hold.ts";
import { JobIntake } from "./job_intake.ts";
import { LoopDelayMonitor } from "./loop_delay_monitor.ts";
import { PlaceRecord } from "./place_record.ts";
import { recordAnswer } from "./record_answer.ts";
import { recordIntakeRefusal } from "./record_intake_refusal.ts";
import type { SubmissionHead } from "./submission_head.ts";
import { WarmUpGate } from "./warm_up_gate.ts";
import { WorkerCrashes } from "./worker_crashes.ts";

export interface BatchEntryOptions {
  name: string;
  /** Identifies one start of the process; differs after each restart. */
  incarnation: string;
  store: KeyedStore;
  peers: PeerConnector<BatchFrame>;
  /** Receives the log events of this process. */
  log: EventLog;
  metrics: Metrics;
  parseOperatorRecord: OperatorRecordParser;
  /** Factor by which tasks run longer away from the rack of their data. */
  farFactor: number;
  /**
   * Whether requests that this entry can't handle at once are handled by urgency
   * and caller; otherwise in the order in which they are read. False by default.
   */
  ordersIntake?: boolean;
  /**
   * Whether it is decided for each task how long it waits for a place near its data,
   * and for each group how long for a place on one rack. Otherwise a wait has a fixed
   * cost, and groups are placed like other tasks. True by default.
   */
  decidesPlaceWaits?: boolean;
}

export interface SubmitJobOptions extends SubmissionHead {
  /** Aborts when the client no longer waits. */
  signal: CallerSignal;
  /** Parses the request. Called when its turn has come. */
  parseJob: () => Result<BatchJob, DispatchError>;
}

export interface RunJobOptions {
  job: BatchJob;
  route: Route;
  /** Time in which the job must be answered, in milliseconds. */
  timeLeftMs: number;
  /** Aborts when the client no longer waits. */
  signal: CallerSignal;
  /** When the job came, if it has waited since it was read. */
  arrival?: JobArrival;
}

/**
 * Delay of two turns of the event loop above which requests are read together before
 * the first of them is handled, in milliseconds.
 */
const BEHIND_DELAY_MS = 10;

/**
 * The entry: discovers the agents, follows the operator's state, and
 * coordinates the jobs that clients send to it.
 */
export class BatchEntry {
  readonly operatorFollower: OperatorFollower;
  readonly #options: BatchEntryOptions;
  readonly #members: AgentRecords;
  readonly #memberFollower: TopicFollower;
  readonly #claims: JobClaims;
  readonly #links = new Map<string, BatchAgentLink>();
  /** The same links; replaced when one is added or removed. */
  #linkList: readonly BatchAgentLink[] = [];
  readonly #jobs = new Map<string, BatchJobRun>();
  /** Answered jobs of which a run may still be executing. */
  readonly #endingJobs = new Map<string, BatchJobRun>();
  #lastStreamNumber = 0;
  #checkTimer: NodeJS.Timeout | undefined;
  readonly #crashes: WorkerCrashes;
  /** Decides which orders may be declined, by service. */
  readonly #declinePolicies = new Map<string, DeclinePolicy>();
  readonly #loopDelay = new LoopDelayMonitor();
  readonly #placeRecord: PlaceRecord | undefined;
  readonly #jobHold: JobHold;
  readonly #intake: JobIntake;

  constructor(options: BatchEntryOptions) {
    this.#options = options;
    const { store, log, metrics, parseOperatorRecord } = options;
    this.#placeRecord = options.decidesPlaceWaits === false
      ? undefined
      : new PlaceRecord({ metrics });
    this.operatorFollower = new OperatorFollower({
      store,
      log,
      metrics: options.metrics,
      parseOperatorRecord,
      onChange: () => {},
    });
    this.#members = new AgentRecords({
      log,
      getLink: (name) => this.#links.get(name),
      replaceLink: (name, member) => {
        this.#removeLink(name);
        if (member !== undefined) {
          this.#addLink(member);
        }
      },
    });
    this.#memberFollower = new TopicFollower({
      topic: "members",
      store,
      log,
      apply: (page) => this.#members.apply(page),
    });
    this.#claims = new JobClaims({
      log,
      metrics: options.metrics,
      getHomes: () => this.#linkList,
      getLongestWaitMs: () => this.#loopDelay.longestWaitMs,
    });
    this.#jobHold = new JobHold({
      log,
      metrics: options.metrics,
      claims: this.#claims,
      getLinks: () => this.#linkList,
      warmUpGate: new WarmUpGate({
        getKnownAgentCount: () => this.#links.size,
        getUsableAgentCount: () =>
          this.#linkList.filter(({ isUsable }) => isUsable).length,
      }),
    });
    this.#crashes = new WorkerCrashes({
      log,
      metrics: options.metrics,
      getLinks: () => this.#links,
      getRoutes: () => this.operatorFollower.state.config?.routes ?? [],
    });
    this.#intake = new JobIntake({
      log,
      metrics: options.metrics,
      isEnabled: options.ordersIntake ?? false,
      isBehind: () => this.#loopDelay.delayMs > BEHIND_DELAY_MS,
    });
    options.metrics.setGauge("jobs_open", () => this.#jobs.size);
    options.metrics.setGauge("jobs_ending", () => this.#endingJobs.size);
    options.metrics.setGauge("agents_open", () => this.#countOpenLinks());
    options.metrics.setGauge(
      "loop_delay_seconds",
      () => this.#loopDelay.delayMs / 1_000,
    );
  }

  /** Gets whether jobs can be served now. */
  get isReady(): boolean {
    return this.operatorFollower.state.config !== undefined &&
      this.#countOpenLinks() > 0;
  }

  /** Gets the number of jobs that are not answered yet. */
  get openJobCount(): number {
    return this.#jobs.size + this.#intake.size;
  }

  start(): void {
    this.#loopDelay.start();
    // One timer for all links: each timer of its own would wake the process.
    this.#checkTimer = setInterval(() => {
      this.#linkList.forEach((link) => link.runPeriodicChecks());
      this.#claims.runPeriodicChecks();
    }, BATCH_LIMITS.linkCheckIntervalMs);
    void this.operatorFollower.run();
    void this.#memberFollower.run();
  }

  stop(): void {
    this.#loopDelay.stop();
    this.#intake.stop();
    clearInterval(this.#checkTimer);
    this.operatorFollower.stop();
    this.#memberFollower.stop();
    for (const link of this.#links.values()) {
      link.stop();
    }
  }

  /**
   * Refuses a submission before its body is read, if its answer would be of no use
   * when its turn comes. Undefined if it is to be read.
   */
  refuseUnread(head: SubmissionHead): BatchAnswer | undefined {
    return this.#jobs.has(head.jobId)
      ? undefined
      : this.#intake.refuseUseless(head);
  }

  /** Gets whether submissions wait for this entry's processor time. */
  get hasWaitingJobs(): boolean {
    return this.#intake.size > 0;
  }

  /**
   * Parses and runs a job when its turn has come; joins it when it is already open.
   * @returns The answer, or why the request can't be parsed.
   */
  async submitJob(
    options: SubmitJobOptions,
  ): Promise<Result<BatchAnswer, DispatchError>> {
    const { jobId, route, caller, timeLeftMs, signal } = options;
    const openRun = this.#jobs.get(jobId);
    if (openRun !== undefined) {
      openRun.addCaller(signal);
      return ok(await openRun.answer);
    }
    const readAt = performance.now();
    const arrival = {
      readAt,
      arrivedAt: readAt - this.#loopDelay.longestWaitMs,
    };
    if (
      !this.#intake.has(jobId) && this.#intake.tryHandleNow(route, caller)
    ) {
      return await this.#parseAndRun(options, arrival, 0);
    }
    return await new Promise((resolve) =>
      this.#intake.add({
        ...{ jobId, route, caller, timeLeftMs, arrival, signal },
        handle: (queuedMs) =>
          resolve(this.#parseAndRun(options, arrival, queuedMs)),
        reject: (answer) => resolve(ok(answer)),
      })
    );
  }

  async #parseAndRun(
    { route, timeLeftMs, signal, parseJob }: SubmitJobOptions,
    arrival: JobArrival,
    queuedMs: number,
  ): Promise<Result<BatchAnswer, DispatchError>> {
    const job = parseJob();
    if (job.isErr()) {
      return err(job.error);
    }
    this.#intake.recordJob(job.value, route);
    const answer = await this.runJob({
      job: job.value,
      ...{ route, signal, arrival },
      timeLeftMs: timeLeftMs - queuedMs,
    });
    return ok(answer);
  }

  /** Runs a job at once; awaits its answer when it is already running. */
  async runJob(options: RunJobOptions): Promise<BatchAnswer> {
    const { job, route, signal, arrival } = options;
    const openRun = this.#jobs.get(job.id);
    if (openRun !== undefined) {
      openRun.addCaller(signal);
      return await openRun.answer;
    }
    const intake = this.#decideIntake(job, route);
    if (intake.kind === "refused") {
      const { retryAfterMs } = intake;
      return { kind: "error", error: "overloaded", retryAfterMs };
    }
    const startedAt = performance.now();
    const queuedMs = startedAt - (arrival?.readAt ?? startedAt);
    const readDelayMs = this.#loopDelay.delayMs;
    const run = this.#createJobRun(options);
    // From here on the job can be joined and cancelled, also while it is held.
    this.#jobs.set(job.id, run);
    this.#claims.add(job.id, job.spec, arrival);
    run.addCaller(signal);
    let answer: BatchAnswer;
    let heldMs = 0;
    try {
      await this.#jobHold.wait(job.id, run, this.#endingJobs.get(job.id));
      heldMs = performance.now() - startedAt;
      run.start();
      answer = await run.answer;
    } finally {
      // A start that failed may have ordered runs. Does nothing after an answer.
      run.cancel();
      this.#jobs.delete(job.id);
      this.#keepWhileRunsEnd(job.id, run);
      this.#releaseEndedJob(job.id);
    }
    recordAnswer(this.#options, {
      ...{ job, route, answer, queuedMs, heldMs, readDelayMs },
      tookMs: performance.now() - startedAt + queuedMs,
    });
    return answer;
  }

  #createJobRun({ job, route, timeLeftMs }: RunJobOptions): BatchJobRun {
    return new BatchJobRun({
      job,
      route,
      timeLeftMs,
      log: this.#options.log,
      farFactor: this.#options.farFactor,
      crashHistory: this.#crashes.history,
      placeRecord: this.#placeRecord,
      getLoads: () => this.#getLoads(route),
      getOffers: () => this.#getOffers(route),
      hasUnknownWorkers: () =>
        this.#linkList.some((link) => link.canHaveUnknownWorker),
      isConfined: () => this.#crashes.isConfined(route.name),
      declinePolicy: this.#getDeclinePolicy(route.service),
      hasClaim: () => this.#claims.canPlace(job.id),
      requestGrants: () => this.#claims.requestReplies(job.id),
      claimFor: (agentIds) => this.#claimFor(job.id, agentIds),
      getAgeMs: () => this.#claims.getAgeMs(job.id),
      sendStart: (agentId, message) =>
        this.#links.get(agentId)?.startRuns(message),
      sendStop: (agentId, tasks) => this.#links.get(agentId)?.stopRuns(tasks),
    });
  }

  #getDeclinePolicy(service: string): DeclinePolicy {
    const policy = this.#declinePolicies.get(service) ?? new DeclinePolicy();
    this.#declinePolicies.set(service, policy);
    return policy;
  }

  #claimFor(jobId: string, agentIds: readonly string[]): ClaimNeed {
    const links = agentIds.map((agentId) => this.#links.get(agentId))
      .filter((link) => link !== undefined);
    return this.#claims.claimFor(jobId, links);
  }

  /** Keeps an answered job until none of its runs can be executing any more. */
  #keepWhileRunsEnd(jobId: string, run: BatchJobRun): void {
    if (run.hasActiveRuns) {
      this.#endingJobs.set(jobId, run);
      void run.runsEnded.then(() => {
        this.#endingJobs.delete(jobId);
        this.#releaseEndedJob(jobId);
      });
    }
  }

  /** Releases the claim of a job unless it is open or one of its runs is. */
  #releaseEndedJob(jobId: string): void {
    if (!this.#jobs.has(jobId) && !this.#endingJobs.has(jobId)) {
      this.#claims.release(jobId);
    }
  }

  #getAllJobRuns(): BatchJobRun[] {
    return [...this.#endingJobs.values(), ...this.#jobs.values()];
  }

  /** Returns whether this entry is running the job. */
  hasJob(jobId: string): boolean {
    return this.#jobs.has(jobId) || this.#intake.has(jobId);
  }

  /**
   * Cancels a job at all agents, whichever entry coordinates it.
   * @returns Whether this entry was running it, or would have.
   */
  cancelJob(jobId: string): boolean {
    this.#options.log.record("job_cancelled", { job: jobId });
    const run = this.#jobs.get(jobId);
    run?.cancel();
    const wasQueued = this.#intake.cancel(jobId);
    for (const link of this.#links.values()) {
      link.cancelJob(jobId, "requested");
    }
    return run !== undefined || wasQueued;
  }

  /** Decides whether this entry has the processor time for another job. */
  #decideIntake(job: BatchJob, route: Route): IntakeDecision {
    const { criticalPathMs, targetMs } = getResponseTimes(job, route);
    // Requests that are handled in order delay none that is more urgent.
    const delayMs = Math.max(
      0,
      this.#loopDelay.delayMs - this.#intake.turnMs,
    );
    const slackMs = targetMs - criticalPathMs;
    const decision = decideIntake({ delayMs, slackMs });
    if (decision.kind === "refused") {
      const { cause, retryAfterMs } = decision;
      recordIntakeRefusal(this.#options, {
        ...{ job: job.id, route, cause, retryAfterMs },
        delayMs: Math.round(delayMs),
        slackMs: Math.round(slackMs),
      });
    }
    return decision;
  }

  #countOpenLinks(): number {
    return this.#linkList.filter(({ hasStatus }) => hasStatus).length;
  }

  /** Gets what all known workers of the service offer, also those away. */
  #getOffers(route: Route): WorkerOffer[] {
    return this.#linkList
      .filter(({ lastService }) => lastService === route.service)
      .map(({ offer }) => offer)
      .filter((offer) => offer !== undefined);
  }

  #getLoads(route: Route): readonly WorkerLoad[] {
    const loads: WorkerLoad[] = [];
    for (const link of this.#linkList) {
      const load = link.getLoad(route.service);
      if (
        load !== undefined && !this.operatorFollower.state.isZoneOut(load.zone)
      ) {
        loads.push(load);
      }
    }
    return this.#crashes.filterLoads(route.name, loads);
  }

  #handleStreamLost(stream: AgentStream): void {
    for (const run of this.#getAllJobRuns()) {
      run.handleStreamLost(stream);
    }
    this.#members.handleStreamLost(stream.agentId);
  }

  #addLink(member: MemberRecord): void {
    const { peers, log, name, incarnation } = this.#options;
    const link = new BatchAgentLink({
      member,
      peers,
      operatorFollower: this.operatorFollower,
      log,
      name,
      incarnation,
      createStreamNumber: () => ++this.#lastStreamNumber,
      onRunEnds: (stream, ends) => {
        for (const end of ends) {
          const jobId = end.task.slice(0, end.task.indexOf("."));
          this.#endingJobs.get(jobId)?.handleEnd(stream, end);
          this.#jobs.get(jobId)?.handleEnd(stream, end);
        }
      },
      onWorkerCrash: (agentId, report) =>
        this.#crashes.handleReport(agentId, report),
      onClaimReply: (home, reply) => this.#claims.handleReply(home, reply),
      onConfirmationRequested: (home, question) =>
        this.#claims.handleConfirmationRequest(home, question),
      onJobCancelled: (agentId, jobId, reason) =>
        this.#handleCancel(agentId, jobId, reason),
      onLost: (stream) => this.#handleStreamLost(stream),
      onEarlierRunsEnded: (stream) => {
        for (const run of this.#getAllJobRuns()) {
          run.handleEarlierRunsEnded(stream);
        }
      },
    });
    this.#links.set(member.name, link);
    this.#linkList = [...this.#links.values()];
    void link.run();
  }

  /** Handles that an agent has stopped a job for another entry. */
  #handleCancel(agentId: string, jobId: string, reason: CancelReason): void {
    this.#options.log.record("job_cancelled", {
      job: jobId,
      agent: agentId,
      reason,
    });
    this.#claims.recordContest(jobId);
    const run = this.#jobs.get(jobId);
    switch (reason) {
      case "requested":
        run?.cancel();
        this.#intake.cancel(jobId);
        break;
      case "superseded":
        run?.giveUp();
        break;
      default:
        reason satisfies never;
    }
    // The agent may have a claim of a job that has ended here.
    if (run === undefined && !this.#endingJobs.has(jobId)) {
      this.#links.get(agentId)?.releaseJobs([jobId], { canWait: false });
    }
  }

  #removeLink(name: string): void {
    this.#links.get(name)?.stop();
    this.#links.delete(name);
    this.#linkList = [...this.#links.values()];
  }
}
