import { setTimeout as wait } from "node:timers/promises";
import { addTaskToLoad, type WorkerLoad } from "../../../state/batch/mod.ts";
import type { EventLog, PeerConnector } from "../../ports/mod.ts";
import type {
  BatchBody,
  RunEnd,
  StartRuns,
  WorkerStatus,
} from "../../messages/mod.ts";
import { BATCH_LIMITS } from "../batch_limits.ts";
import { BatchStream } from "../batch_stream.ts";
import type { MemberRecord, OperatorFollower } from "../directory/mod.ts";

/** Interval of the checks of one channel, in milliseconds. */
const TICK_MS = 50;

/** An agent that is silent for this time gets no new tasks, in milliseconds. */
const SUSPECT_MS = 450;

/** Delays between attempts to open the stream, in milliseconds. */
const REOPEN_MS = { first: 50, max: 1_000 } as const;

export interface BatchAgentLinkOptions {
  member: MemberRecord;
  peers: PeerConnector;
  operator: OperatorFollower;
  log: EventLog;
  /** Name of this entry. */
  name: string;
  /** Differs for each start of this process. */
  incarnation: string;
  onRunEnds: (agentId: string, ends: readonly RunEnd[]) => void;
  /** The agent can't be heard; its runs may still be at work. */
  onLost: (agentId: string) => void;
  /** No run that was ordered on an earlier stream is at work. */
  onSettled: (agentId: string) => void;
  getTime?: () => number;
}

/**
 * The entry's side of the streams to one agent. One task opens a stream, serves
 * it until it breaks or falls silent, and opens the next one.
 */
export class BatchAgentLink {
  readonly #options: BatchAgentLinkOptions;
  readonly #getTime: () => number;
  #link: BatchStream | undefined;
  #status: WorkerStatus | undefined;
  #load: WorkerLoad | undefined;
  #batch = 0;
  #unreported: StartRuns[] = [];
  /** Silence as seen by this process while it was running, in milliseconds. */
  #silentMs = 0;
  #hasSettled = false;
  #isStopped = false;

  constructor(options: BatchAgentLinkOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
  }

  /** Name of the agent. */
  get agentId(): string {
    return this.#options.member.name;
  }

  get address(): string {
    return this.#options.member.address;
  }

  get isOpen(): boolean {
    return this.#status !== undefined;
  }

  /** Is the agent heard, and does its worker take work? */
  get isUsable(): boolean {
    return this.#status?.acceptsWork === true && this.#silentMs < SUSPECT_MS;
  }

  /**
   * Gets the load of the worker if it takes work of the service, with the tasks
   * sent since its last report.
   */
  getLoad(service: string): WorkerLoad | undefined {
    return this.isUsable && this.#status?.service === service
      ? this.#load
      : undefined;
  }

  /** Sends tasks of one job to the agent. */
  startRuns(message: Omit<StartRuns, "batch">): void {
    this.#batch++;
    const value = { ...message, batch: this.#batch };
    this.#unreported.push(value);
    this.#addToLoad(value);
    this.#link?.send({ case: "startRuns", value });
  }

  /** Asks the agent to stop tasks. */
  stopRuns(tasks: string[]): void {
    this.#link?.send({ case: "stopRuns", value: { tasks } });
  }

  /** Asks the agent to stop a job that another entry may coordinate. */
  cancelJob(jobId: string): void {
    this.#link?.send({ case: "cancelJob", value: { jobId } });
  }

  /** Keeps a stream to the agent until `stop` is called. */
  async run(): Promise<void> {
    let reopenMs: number = REOPEN_MS.first;
    while (!this.#isStopped) {
      const wasOpen = await this.#serveStream();
      reopenMs = wasOpen
        ? REOPEN_MS.first
        : Math.min(REOPEN_MS.max, reopenMs * 2);
      await wait(reopenMs * (0.5 + Math.random()));
    }
  }

  stop(): void {
    this.#isStopped = true;
    this.#link?.close();
  }

  /** Serves one stream until its end; true when the agent answered on it. */
  async #serveStream(): Promise<boolean> {
    const { peers: caller, name, incarnation, log, onLost } = this.#options;
    const stream = caller.open(this.address);
    const link = new BatchStream(stream, { getTime: this.#getTime });
    this.#link = link;
    this.#silentMs = 0;
    this.#batch = 0;
    this.#hasSettled = false;
    link.send({ case: "hello", value: { name, incarnation } });
    this.#sendPing();
    const timer = this.#startTimer(link);
    let reason = "silent";
    try {
      for await (const body of link.receive()) {
        this.#silentMs = 0;
        this.#handle(body);
      }
      reason = "closed";
    } catch (error) {
      reason = this.#silentMs > BATCH_LIMITS.agentTimeoutMs
        ? "silent"
        : (error as Error).message;
    }
    clearInterval(timer);
    link.close();
    const wasOpen = this.#status !== undefined;
    this.#link = undefined;
    this.#status = undefined;
    this.#load = undefined;
    this.#unreported = [];
    if (wasOpen) {
      log.record("agent_lost", { agent: this.agentId, reason });
      onLost(this.agentId);
    }
    return wasOpen;
  }

  /**
   * Sends pings and closes a silent stream. The time in which this process
   * stood still does not count as silence of the agent.
   */
  #startTimer(link: BatchStream): NodeJS.Timeout {
    return setInterval(() => {
      this.#silentMs += TICK_MS;
      if (this.#silentMs > BATCH_LIMITS.agentTimeoutMs) {
        link.close();
      } else if (this.#getTime() - link.sentAt >= BATCH_LIMITS.pingIntervalMs) {
        this.#sendPing();
      }
    }, TICK_MS);
  }

  #sendPing(): void {
    const operatorOffset = this.#options.operator.state.offset;
    this.#link?.send({ case: "ping", value: { operatorOffset } });
  }

  #handle(body: BatchBody): void {
    const { operator, onRunEnds: onEnds, log } = this.#options;
    switch (body.case) {
      case "hello":
        log.record("agent_found", {
          agent: this.agentId,
          incarnation: body.value.incarnation,
        });
        return;
      case "ping":
        if (body.value.operatorOffset < operator.state.offset) {
          const value = operator.getSnapshot();
          this.#link?.send({ case: "operatorSnapshot", value });
        }
        return;
      case "operatorSnapshot":
        operator.mergeSnapshot(body.value, this.agentId);
        return;
      case "runEnds":
        onEnds(this.agentId, body.value.ends);
        return;
      case "workerStatus":
        this.#handleStatus(body.value);
        return;
      case "startRuns":
      case "stopRuns":
      case "cancelJob":
        return;
      default:
        body satisfies never;
    }
  }

  #handleStatus(status: WorkerStatus): void {
    const previous = this.#status;
    this.#status = status;
    this.#unreported = this.#unreported.filter((message) =>
      message.batch > status.receivedBatch
    );
    this.#load = createLoad(this.agentId, status);
    for (const message of this.#unreported) {
      this.#addToLoad(message);
    }
    if (
      previous?.acceptsWork !== status.acceptsWork ||
      previous.workerId !== status.workerId
    ) {
      this.#options.log.record("worker_status", {
        agent: this.agentId,
        workerId: status.workerId,
        acceptsWork: status.acceptsWork,
        zone: status.zone,
      });
    }
    if (status.isSettled && !this.#hasSettled) {
      this.#hasSettled = true;
      this.#options.onSettled(this.agentId);
    }
  }

  #addToLoad(message: StartRuns): void {
    for (const order of message.runs) {
      if (this.#load !== undefined) {
        const { priority } = message;
        const { expectedMs } = order;
        const task = { resources: order, expectedMs, priority };
        this.#load = addTaskToLoad(this.#load, task);
      }
    }
  }
}

function createLoad(agentId: string, status: WorkerStatus): WorkerLoad {
  return {
    agentId,
    zone: status.zone,
    labels: status.labels,
    capacity: status,
    free: {
      cpuMillis: status.freeCpuMillis,
      memoryMb: status.freeMemoryMb,
      gpus: status.freeGpus,
    },
    ownShare: 1 / Math.max(1, status.entries),
    shareRounding: Math.random(),
    slowdown: status.slowdown,
    runningLeftMs: status.runningLeftMs,
    queuedRuns: status.queuedRuns,
    queuedMs: status.queuedMs,
    failureShare: status.failureShare,
  };
}
