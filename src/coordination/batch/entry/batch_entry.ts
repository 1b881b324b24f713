import type { BatchJob, Route, WorkerLoad } from "../../../state/batch/mod.ts";
import { parseJson } from "../../../state/errors/mod.ts";
import type { Metrics } from "../../../state/metrics/mod.ts";
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
import { BatchAgentLink } from "./batch_agent_link.ts";
import type { BatchAnswer } from "./batch_answer.ts";
import { BatchJobRun } from "./batch_job_run.ts";
import { WarmUpGate } from "./warm_up_gate.ts";

export interface BatchEntryOptions {
  name: string;
  incarnation: string;
  store: KeyedStore;
  peers: PeerConnector;
  log: EventLog;
  metrics: Metrics;
  parseOperatorRecord: OperatorRecordParser;
  /** Slowdown of tasks away from the rack of their data. */
  farFactor: number;
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
 * The entry: finds the agents, follows the operator, and coordinates the jobs
 * that clients send to it.
 */
export class BatchEntry {
  readonly operator: OperatorFollower;
  readonly #options: BatchEntryOptions;
  readonly #members: TopicFollower;
  readonly #channels = new Map<string, BatchAgentLink>();
  readonly #jobs = new Map<string, BatchJobRun>();
  readonly #gate = new WarmUpGate({
    getKnownAgents: () => this.#channels.size,
    getUsableAgents: () =>
      [...this.#channels.values()].filter(({ isUsable }) => isUsable).length,
  });

  constructor(options: BatchEntryOptions) {
    this.#options = options;
    const { store, log, parseOperatorRecord } = options;
    this.operator = new OperatorFollower({
      store,
      log,
      parseOperatorRecord,
      onChange: () => {},
    });
    this.#members = new TopicFollower({
      topic: "members",
      store,
      log,
      apply: (page) => this.#addMembers(page),
    });
    options.metrics.setGauge("jobs_open", () => this.#jobs.size);
    options.metrics.setGauge("agents_open", () => this.#countOpen());
  }

  /** Can jobs be served now? */
  get isReady(): boolean {
    return this.operator.state.config !== undefined && this.#countOpen() > 0;
  }

  /** Jobs that are not answered yet. */
  get openJobCount(): number {
    return this.#jobs.size;
  }

  start(): void {
    void this.operator.run();
    void this.#members.run();
  }

  stop(): void {
    this.operator.stop();
    this.#members.stop();
    for (const channel of this.#channels.values()) {
      channel.stop();
    }
  }

  /** Runs a job, or joins it when it is running already. */
  async runJob(options: RunJobOptions): Promise<BatchAnswer> {
    const { job, route, timeLeftMs, signal } = options;
    const running = this.#jobs.get(job.id);
    if (running !== undefined) {
      return running.answer;
    }
    const { log, farFactor, metrics } = this.#options;
    const startedAt = performance.now();
    await this.#gate.wait(signal);
    const run = new BatchJobRun({
      job,
      route,
      timeLeftMs: timeLeftMs - (performance.now() - startedAt),
      log,
      farFactor,
      getLoads: (service) => this.#getLoads(service),
      sendStart: (agentId, message) =>
        this.#channels.get(agentId)?.startRuns(message),
      sendStop: (agentId, tasks) =>
        this.#channels.get(agentId)?.stopRuns(tasks),
    });
    this.#jobs.set(job.id, run);
    signal.addEventListener("abort", () => run.cancel(), { once: true });
    run.start();
    const answer = await run.answer;
    this.#jobs.delete(job.id);
    const tookMs = performance.now() - startedAt;
    metrics.recordTime("job", tookMs);
    metrics.incrementCounter("jobs", 1, {
      labels: { outcome: getOutcome(answer) },
    });
    log.record("job_answered", {
      job: job.id,
      route: route.name,
      tookMs: Math.round(tookMs),
      ...answer,
    });
    return answer;
  }

  /** Is the job running here? */
  hasJob(jobId: string): boolean {
    return this.#jobs.has(jobId);
  }

  /**
   * Cancels a job at all agents, whoever coordinates it.
   * @returns Whether it was running here.
   */
  cancelJob(jobId: string): boolean {
    this.#options.log.record("job_cancelled", { job: jobId });
    const running = this.#jobs.get(jobId);
    running?.cancel();
    for (const channel of this.#channels.values()) {
      channel.cancelJob(jobId);
    }
    return running !== undefined;
  }

  #countOpen(): number {
    return [...this.#channels.values()].filter(({ isOpen }) => isOpen).length;
  }

  #getLoads(service: string): WorkerLoad[] {
    const loads: WorkerLoad[] = [];
    for (const channel of this.#channels.values()) {
      const load = channel.getLoad(service);
      if (
        load !== undefined && !this.operator.state.isZoneOut(load.zone)
      ) {
        loads.push(load);
      }
    }
    return loads;
  }

  #addMembers(page: KeyedPage): void {
    for (const { key, value } of page.records) {
      if (value === undefined) {
        this.#removeChannel(key);
        continue;
      }
      const member = parseJson(MemberRecord, value, "invalid_request");
      if (member.isErr() || member.value.name !== key) {
        const reason = member.isErr() ? member.error.message : "another key";
        this.#options.log.record("record_unreadable", { key, reason });
        continue;
      }
      if (this.#channels.get(key)?.address !== member.value.address) {
        this.#removeChannel(key);
        this.#addChannel(member.value);
      }
    }
  }

  #addChannel(member: MemberRecord): void {
    const { peers: caller, log, name, incarnation } = this.#options;
    const channel = new BatchAgentLink({
      member,
      peers: caller,
      operator: this.operator,
      log,
      name,
      incarnation,
      onRunEnds: (agentId, ends) => {
        for (const end of ends) {
          const jobId = end.task.slice(0, end.task.indexOf("."));
          this.#jobs.get(jobId)?.handleEnd(agentId, end);
        }
      },
      onLost: (agentId) => {
        for (const job of [...this.#jobs.values()]) {
          job.handleAgentLost(agentId);
        }
      },
      onSettled: (agentId) => {
        for (const job of [...this.#jobs.values()]) {
          job.handleAgentSettled(agentId);
        }
      },
    });
    this.#channels.set(member.name, channel);
    void channel.run();
  }

  #removeChannel(name: string): void {
    this.#channels.get(name)?.stop();
    this.#channels.delete(name);
  }
}

function getOutcome(answer: BatchAnswer): string {
  return answer.kind === "error" ? answer.error : answer.kind;
}
