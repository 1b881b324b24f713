import type { EventLog, PeerStream } from "../../ports/mod.ts";
import type { BatchBody, RunEnd, StartRuns } from "../../messages/mod.ts";
import { BATCH_LIMITS } from "../batch_limits.ts";
import { BatchStream } from "../batch_stream.ts";
import type { OperatorFollower } from "../directory/mod.ts";
import type { RunOwner } from "./run_owner.ts";
import type { WorkerRunner } from "./worker_runner.ts";

export interface BatchEntrySessionOptions {
  stream: PeerStream;
  runner: WorkerRunner;
  operator: OperatorFollower;
  log: EventLog;
  /** Name of this agent. */
  name: string;
  /** Differs for each start of the process. */
  incarnation: string;
  /** Counts the open sessions of the agent. */
  countSessions: () => number;
  /** Stops the runs of a job at all sessions. */
  cancelJob: (jobId: string) => void;
  getTime?: () => number;
}

/**
 * The agent's side of one stream from an entry. While proof that the entry hears
 * the agent is missing, the runs of the entry are stopped and none is started.
 */
export class BatchEntrySession implements RunOwner {
  readonly #options: BatchEntrySessionOptions;
  readonly #getTime: () => number;
  readonly #link: BatchStream;
  #name = "";
  #isClosed = false;
  #isSilent = false;
  #receivedBatch = 0;
  #ends: RunEnd[] = [];
  #pingedAt: number | undefined;

  constructor(options: BatchEntrySessionOptions) {
    this.#options = options;
    this.#getTime = options.getTime ?? (() => performance.now());
    this.#link = new BatchStream(options.stream, { getTime: this.#getTime });
  }

  get name(): string {
    return this.#name;
  }

  isResponsive(): boolean {
    return !this.#isClosed &&
      this.#getTime() - this.#link.acknowledgedSentAt <
        BATCH_LIMITS.entryTimeoutMs;
  }

  /**
   * Queues the end of a run. Ends of one turn share a frame, and the status
   * after them leaves in the same write.
   */
  handleEnd(end: RunEnd): void {
    if (this.#ends.length === 0) {
      queueMicrotask(() => this.#sendEnds());
    }
    this.#ends.push(end);
  }

  /** Serves the stream until it ends. */
  async serve(): Promise<void> {
    const { name, incarnation, runner, log } = this.#options;
    this.#link.send({ case: "hello", value: { name, incarnation } });
    this.sendStatus();
    let reason: string | undefined;
    try {
      for await (const body of this.#link.receive()) {
        this.#handle(body);
      }
    } catch (error) {
      reason = (error as Error).message;
    } finally {
      this.#isClosed = true;
      log.record("entry_lost", { entry: this.#name, reason });
      runner.stopWhere((run) => run.owner === this);
    }
  }

  /**
   * Answers a ping unless another frame has done so, and stops the runs of an
   * entry that has fallen silent.
   */
  tick(): void {
    if (this.#pingedAt !== undefined && this.#link.sentAt < this.#pingedAt) {
      const operatorOffset = this.#options.operator.state.offset;
      this.#link.send({ case: "ping", value: { operatorOffset } });
    }
    this.#pingedAt = undefined;
    this.#checkSilence();
  }

  #checkSilence(): void {
    const isSilent = !this.isResponsive();
    const wasProven = this.#link.acknowledgedSentAt > -Infinity;
    if (isSilent && !this.#isSilent && wasProven) {
      this.#options.log.record("entry_silent", {
        entry: this.#name,
        proofAgeMs: Math.round(this.#getTime() - this.#link.acknowledgedSentAt),
      });
      this.#options.runner.stopWhere((run) => run.owner === this);
    }
    this.#isSilent = isSilent;
  }

  /** Sends the state and load of the worker. */
  sendStatus(status = this.#options.runner.getStatus()): void {
    const { runner } = this.#options;
    const value = {
      ...status,
      isSettled: !runner.hasRunsOfEarlierSessions(this),
      receivedBatch: this.#receivedBatch,
      entries: this.#options.countSessions(),
    };
    this.#link.send({ case: "workerStatus", value });
  }

  #handle(body: BatchBody): void {
    const { runner } = this.#options;
    switch (body.case) {
      case "hello":
        this.#name = body.value.name;
        this.#options.log.record("entry_found", {
          entry: this.#name,
          incarnation: body.value.incarnation,
        });
        runner.stopWhere((run) =>
          run.owner.name === this.#name && run.owner !== this
        );
        return;
      case "ping":
        this.#handlePing(body.value.operatorOffset);
        return;
      case "startRuns":
        this.#handleStartRuns(body.value);
        return;
      case "stopRuns": {
        const tasks = new Set(body.value.tasks);
        runner.stopWhere((run) => run.owner === this && tasks.has(run.task));
        return;
      }
      case "operatorSnapshot":
        this.#options.operator.mergeSnapshot(body.value, this.#name);
        return;
      case "cancelJob":
        this.#options.cancelJob(body.value.jobId);
        return;
      case "runEnds":
      case "workerStatus":
        return;
      default:
        body satisfies never;
    }
  }

  #handlePing(operatorOffset: number): void {
    const { operator } = this.#options;
    this.#pingedAt = this.#getTime();
    const { offset } = operator.state;
    if (operatorOffset > offset) {
      // The entry sends its newer state when it learns of this one.
      this.#link.send({ case: "ping", value: { operatorOffset: offset } });
    } else if (operatorOffset < offset) {
      const value = operator.getSnapshot();
      this.#link.send({ case: "operatorSnapshot", value });
    }
  }

  #handleStartRuns(message: StartRuns): void {
    const { runner } = this.#options;
    const now = this.#getTime();
    this.#receivedBatch = message.batch;
    for (const order of message.runs) {
      runner.add({
        task: order.task,
        run: order.run,
        jobId: message.jobId,
        spec: message.spec,
        owner: this,
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
        state: "queued",
        isStopRequested: false,
        settlingFence: 0,
        startedAt: 0,
        stopSentAt: 0,
        missedReports: 0,
      });
    }
    runner.processQueue();
  }

  #sendEnds(): void {
    const ends = this.#ends;
    this.#ends = [];
    this.#link.send({ case: "runEnds", value: { ends } });
    this.sendStatus();
  }
}
