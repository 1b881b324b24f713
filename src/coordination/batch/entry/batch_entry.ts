import {
  type BatchJob,
  CrashHistory,
  decideIntake,
  DeclinePolicy,
  getPriorityLabel,
  getResponseTimes,
  type IntakeDecision,
  type Route,
  RouteContainment,
  type WorkerCrash,
  type WorkerLoad,
  type WorkerOffer,
} from "../../../state/batch/mod.ts";
import { parseJson } from "../../../state/errors/mod.ts";
import type { Metrics } from "../../../state/metrics/mod.ts";
import type {
  BatchFrame,
  CancelReason,
  WorkerCrashReport,
} from "../../messages/mod.ts";
import type {
  EventLog,
  KeyedPage,
  KeyedStore,
  PeerConnector,
} from "../../ports/mod.ts";
import {
  MemberRecord,
  OperatorFollower,
  type OperatorRecordParser,
  TopicFollower,
} from "../directory/mod.ts";
import type { AgentStream } from "./agent_stream.ts";
import { BatchAgentLink } from "./batch_agent_link.ts";
import { BATCH_LIMITS } from "../batch_limits.ts";
import type { BatchAnswer } from "./batch_answer.ts";
import { BatchJobRun } from "./batch_job_run.ts";
import type { ClaimNeed } from "./claim_need.ts";
import { JobClaims } from "./job_claims.ts";
import { JobHold } from "./job_hold.ts";
import { LoopDelayMonitor } from "./loop_delay_monitor.ts";
import { PlaceRecord } from "./place_record.ts";
import { WarmUpGate } from "./warm_up_gate.ts";

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
   * Whether it is decided for each task how long it waits for a place near its data.
   * Otherwise a wait has a fixed cost. True by default.
   */
  decidesPlaceWaits?: boolean;
}

export interface RunJobOptions {
  job: BatchJob;
  route: Route;
  /** Time in which the job must be answered, in milliseconds. */
  timeLeftMs: number;
  /** Aborts when the client no longer waits. */
  signal: AbortSignal;
}

/**
 * The entry: discovers the agents, follows the operator's state, and
 * coordinates the jobs that clients send to it.
 */
export class BatchEntry {
  readonly operatorFollower: OperatorFollower;
  readonly #options: BatchEntryOptions;
  readonly #members: TopicFollower;
  readonly #claims: JobClaims;
  readonly #links = new Map<string, BatchAgentLink>();
  readonly #jobs = new Map<string, BatchJobRun>();
  /** Answered jobs of which a run may still be executing. */
  readonly #endingJobs = new Map<string, BatchJobRun>();
  /** Records of connected agents that state another address, or none. */
  readonly #pendingMembers = new Map<string, MemberRecord | undefined>();
  #lastStreamNumber = 0;
  #checkTimer: NodeJS.Timeout | undefined;
  readonly #crashHistory = new CrashHistory();
  readonly #containment = new RouteContainment({
    onRelease: (route) => this.#options.log.record("route_released", { route }),
  });
  /** Decides which orders may be declined, by service. */
  readonly #declinePolicies = new Map<string, DeclinePolicy>();
  readonly #loopDelay = new LoopDelayMonitor();
  readonly #placeRecord: PlaceRecord | undefined;
  readonly #jobHold: JobHold;

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
    this.#members = new TopicFollower({
      topic: "members",
      store,
      log,
      apply: (page) => this.#applyMembers(page),
    });
    this.#claims = new JobClaims({
      log,
      metrics: options.metrics,
      getHomes: () => [...this.#links.values()],
      getLongestWaitMs: () => this.#loopDelay.longestWaitMs,
    });
    this.#jobHold = new JobHold({
      log,
      metrics: options.metrics,
      claims: this.#claims,
      getLinks: () => [...this.#links.values()],
      warmUpGate: new WarmUpGate({
        getKnownAgentCount: () => this.#links.size,
        getUsableAgentCount: () =>
          [...this.#links.values()].filter(({ isUsable }) => isUsable).length,
      }),
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
    return this.#jobs.size;
  }

  start(): void {
    this.#loopDelay.start();
    // One timer for all links: each timer of its own would wake the process.
    this.#checkTimer = setInterval(() => {
      this.#links.forEach((link) => link.runPeriodicChecks());
      this.#claims.runPeriodicChecks();
    }, BATCH_LIMITS.linkCheckIntervalMs);
    void this.operatorFollower.run();
    void this.#members.run();
  }

  stop(): void {
    this.#loopDelay.stop();
    clearInterval(this.#checkTimer);
    this.operatorFollower.stop();
    this.#members.stop();
    for (const link of this.#links.values()) {
      link.stop();
    }
  }

  /** Runs a job; awaits its answer when it is already running. */
  async runJob(options: RunJobOptions): Promise<BatchAnswer> {
    const { job, route, signal } = options;
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
    const { log, metrics } = this.#options;
    const startedAt = performance.now();
    const readDelayMs = Math.round(this.#loopDelay.delayMs);
    const run = this.#createJobRun(options);
    // From here on the job can be joined and cancelled, also while it is held.
    this.#jobs.set(job.id, run);
    this.#claims.add(job.id, job.spec);
    run.addCaller(signal);
    let answer: BatchAnswer;
    let heldMs = 0;
    try {
      await this.#jobHold.wait(job.id, run, this.#endingJobs.get(job.id));
      heldMs = Math.round(performance.now() - startedAt);
      run.start();
      answer = await run.answer;
    } finally {
      // A start that failed may have ordered runs. Does nothing after an answer.
      run.cancel();
      this.#jobs.delete(job.id);
      this.#keepWhileRunsEnd(job.id, run);
      this.#releaseEndedJob(job.id);
    }
    const tookMs = performance.now() - startedAt;
    metrics.recordTime("job", tookMs);
    metrics.incrementCounter("jobs", 1, {
      labels: { outcome: getOutcomeLabel(answer) },
    });
    const { targetMs } = getResponseTimes(job, route);
    const result = getResultLabel(answer, tookMs <= targetMs);
    metrics.incrementCounter("jobs_by_priority", 1, {
      labels: { priority: getPriorityLabel(route.priority), result },
    });
    log.record("job_answered", {
      job: job.id,
      route: route.name,
      priority: route.priority,
      tookMs: Math.round(tookMs),
      targetMs: Math.round(targetMs),
      heldMs,
      readDelayMs,
      ...answer,
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
      placeRecord: this.#placeRecord,
      crashHistory: this.#crashHistory,
      getLoads: () => this.#getLoads(route),
      getOffers: () => this.#getOffers(route),
      isConfined: () => this.#getConfinement(route) !== undefined,
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
    return this.#jobs.has(jobId);
  }

  /**
   * Cancels a job at all agents, whichever entry coordinates it.
   * @returns Whether this entry was running it.
   */
  cancelJob(jobId: string): boolean {
    this.#options.log.record("job_cancelled", { job: jobId });
    const run = this.#jobs.get(jobId);
    run?.cancel();
    for (const link of this.#links.values()) {
      link.cancelJob(jobId, "requested");
    }
    return run !== undefined;
  }

  /** Decides whether this entry has the processor time for another job. */
  #decideIntake(job: BatchJob, route: Route): IntakeDecision {
    const { criticalPathMs, targetMs } = getResponseTimes(job, route);
    const { delayMs } = this.#loopDelay;
    const slackMs = targetMs - criticalPathMs;
    const decision = decideIntake({ delayMs, slackMs });
    if (decision.kind === "refused") {
      this.#options.log.record("job_intake", {
        job: job.id,
        route: route.name,
        delayMs: Math.round(delayMs),
        slackMs: Math.round(slackMs),
        ...decision,
      });
      this.#options.metrics.incrementCounter("jobs", 1, {
        labels: { outcome: "overloaded" },
      });
    }
    return decision;
  }

  #countOpenLinks(): number {
    return [...this.#links.values()].filter(({ hasStatus }) => hasStatus)
      .length;
  }

  /** Gets what all known workers of the service offer, also those away. */
  #getOffers(route: Route): WorkerOffer[] {
    return [...this.#links.values()]
      .filter(({ lastService }) => lastService === route.service)
      .map(({ offer }) => offer)
      .filter((offer) => offer !== undefined);
  }

  /** Gets the agents that a route is confined to; undefined if it is not. */
  #getConfinement(route: Route): ReadonlySet<string> | undefined {
    return this.#containment.getAgents(route.name, performance.now());
  }

  #getLoads(route: Route): readonly WorkerLoad[] {
    const loads: WorkerLoad[] = [];
    for (const link of this.#links.values()) {
      const load = link.getLoad(route.service);
      if (
        load !== undefined && !this.operatorFollower.state.isZoneOut(load.zone)
      ) {
        loads.push(load);
      }
    }
    return this.#containment.filterLoads(route.name, loads, performance.now());
  }

  #applyMembers(page: KeyedPage): void {
    for (const { key, value } of page.records) {
      if (value === undefined) {
        this.#applyMember(key, undefined);
        continue;
      }
      const member = parseJson(MemberRecord, value, "invalid_request");
      if (member.isErr() || member.value.name !== key) {
        const reason = member.isErr()
          ? member.error.message
          : "name differs from the key";
        this.#options.log.record("record_unreadable", { key, reason });
        this.#requestAnnouncement(key);
        continue;
      }
      this.#applyMember(key, member.value);
    }
  }

  /**
   * Applies the record of an agent; undefined if its key was deleted. While the
   * agent is connected, its stream tells more than a record that another writer
   * may have left: the record applies when the stream is lost.
   */
  #applyMember(name: string, member: MemberRecord | undefined): void {
    this.#pendingMembers.delete(name);
    const link = this.#links.get(name);
    if (link !== undefined && link.address === member?.address) {
      return;
    }
    if (link?.hasStatus === true) {
      this.#pendingMembers.set(name, member);
      this.#requestAnnouncement(name);
      return;
    }
    this.#removeLink(name);
    if (member !== undefined) {
      this.#addLink(member);
    }
  }

  #requestAnnouncement(name: string): void {
    const link = this.#links.get(name);
    if (link?.hasStatus === true) {
      this.#options.log.record("announcement_requested", { agent: name });
      link.requestAnnouncement();
    }
  }

  #handleStreamLost(stream: AgentStream): void {
    for (const run of this.#getAllJobRuns()) {
      run.handleStreamLost(stream);
    }
    const name = stream.agentId;
    if (this.#pendingMembers.has(name)) {
      this.#applyMember(name, this.#pendingMembers.get(name));
    }
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
        this.#handleWorkerCrash(agentId, report),
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

  #handleWorkerCrash(agentId: string, report: WorkerCrashReport): void {
    const at = performance.now() - report.ageMs;
    const { id, runs } = report;
    const crash = this.#crashHistory.record({ id, agentId, at, runs });
    if (crash.runs.length === 0) {
      return;
    }
    this.#options.log.record("worker_crashed", {
      agent: agentId,
      crash: id,
      ageMs: report.ageMs,
      runs: crash.runs.length,
      suspects: crash.runs.filter(({ earlierCrashes }) => earlierCrashes > 0)
        .map(({ task, route }) => `${task} of ${route}`),
    });
    this.#confineRoutes(crash);
  }

  #confineRoutes(crash: WorkerCrash): void {
    const links = [...this.#links.values()];
    const service = this.#links.get(crash.agentId)?.lastService;
    // An agent that has not told its service yet may have the same one.
    const agentCount =
      links.filter(({ lastService }) =>
        lastService === service || lastService === ""
      ).length;
    const routes = this.#containment.record({
      crash,
      history: this.#crashHistory,
      agentCount,
      sharesWorkers: (route) => this.#sharesWorkers(route),
    });
    for (const route of routes) {
      const agents = this.#containment.getAgents(route, crash.at) ?? [];
      this.#options.metrics.incrementCounter("routes_confined", 1);
      this.#options.log.record("route_confined", {
        route,
        crash: crash.id,
        agentCount,
        agents: [...agents],
      });
    }
  }

  /** Returns whether another route has the same service. */
  #sharesWorkers(routeName: string): boolean {
    const routes = this.operatorFollower.state.config?.routes ?? [];
    const service = routes.find(({ name }) => name === routeName)?.service;
    return routes.some((route) =>
      route.name !== routeName && route.service === service
    );
  }

  #removeLink(name: string): void {
    this.#links.get(name)?.stop();
    this.#links.delete(name);
  }
}

function getOutcomeLabel(answer: BatchAnswer): string {
  return answer.kind === "error" ? answer.error : answer.kind;
}

/** Gets the outcome, and for a completed job whether its caller got it in time. */
function getResultLabel(answer: BatchAnswer, isInTime: boolean): string {
  if (answer.kind !== "completed") {
    return getOutcomeLabel(answer);
  }
  return isInTime ? "in_time" : "late";
}
