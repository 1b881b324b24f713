/**
 * A worker of the model, which handles leases, fencing tokens and the numbers of
 * runs as the platform states it. It has one life after the other.
 */
import type {
  EndedRun,
  LeaseRenewal,
  LeaseReport,
  StartRunOrder,
  StopRunOrder,
  WorkerOrder,
  WorkerRefusal,
  WorkerReply,
} from "../../../../src/coordination/ports/mod.ts";
import type { RunOutcome } from "../../../../src/state/batch/mod.ts";
import type { TestRandom } from "../../../lib/test_random.ts";
import type { SimulatedEvent } from "./simulated_event.ts";
import type { SimulatedTime } from "./simulated_time.ts";

/** Longest lease that a worker grants, in milliseconds of its clock. */
const MAX_LEASE_MS = 1_000;

/** Slowest clock of a worker, in thousandths of the real one. */
const MIN_CLOCK_RATE = 980;

/** Longest time from a stop order to the end of its run, in milliseconds. */
const MAX_STOP_MS = 60;

/** Number of runs that a worker has room for. */
const SLOTS = 2;

interface WorkerRun {
  readonly task: string;
  readonly run: number;
  readonly endEvent: SimulatedEvent;
  isStopping: boolean;
}

export interface SimulatedWorkerOptions {
  name: string;
  time: SimulatedTime;
  random: TestRandom;
  getDurationMs: (task: string) => number;
  /** Called before a run starts. */
  onStart: (task: string) => void;
  /** Called after a run has ended. */
  onEnd: (task: string, outcome: RunOutcome) => void;
}

export class SimulatedWorker {
  readonly #options: SimulatedWorkerOptions;
  #id: string;
  #bornAtMs = 0;
  #lifeCount = 0;
  #isUp = false;
  #startedAtMs = 0;
  #clockRate = 1;
  #fence = 0;
  #leaseUntilMs = 0;
  #sequence = 0;
  #ended: EndedRun[] = [];
  readonly #running = new Map<string, WorkerRun>();
  /** Highest run of each task that was stopped or has ended. */
  readonly #highestEndedRuns = new Map<string, number>();
  readonly #waitingRenewals = new Set<() => void>();
  /** Calls that break when this life ends. */
  readonly #openCalls = new Set<() => void>();

  constructor(options: SimulatedWorkerOptions) {
    this.#options = options;
    this.#id = options.name;
  }

  get id(): string {
    return this.#id;
  }

  get bornAtMs(): number {
    return this.#bornAtMs;
  }

  get isUp(): boolean {
    return this.#isUp;
  }

  /** Gets the number of the current life. */
  get lifeCount(): number {
    return this.#lifeCount;
  }

  get openCalls(): Set<() => void> {
    return this.#openCalls;
  }

  get clockMs(): number {
    const { nowMs } = this.#options.time;
    return 1_000 + (nowMs - this.#startedAtMs) * this.#clockRate;
  }

  /** Starts a new life, under the same id as the last one or another. */
  start(): void {
    const { name, time, random } = this.#options;
    this.#lifeCount++;
    this.#isUp = true;
    this.#id = random.getInt(0, 1) === 0 ? name : `${name}-${this.#lifeCount}`;
    this.#bornAtMs = Date.now();
    this.#startedAtMs = time.nowMs;
    this.#clockRate = random.getInt(MIN_CLOCK_RATE, 1_000) / 1_000;
    this.#fence = 0;
    this.#leaseUntilMs = 0;
    this.#sequence = 0;
    this.#ended = [];
    this.#highestEndedRuns.clear();
  }

  /** Ends this life and its runs without notice. */
  endLife(): void {
    this.#isUp = false;
    for (const { task, endEvent } of this.#running.values()) {
      endEvent.isCancelled = true;
      this.#running.delete(task);
      this.#options.onEnd(task, "crashed");
    }
    this.#waitingRenewals.clear();
    const calls = [...this.#openCalls];
    this.#openCalls.clear();
    calls.forEach((breakCall) => breakCall());
  }

  /** Ends all runs as failed. */
  failRuns(): void {
    for (const { task } of [...this.#running.values()]) {
      this.#endRun(task, "failed");
    }
  }

  executeStart(order: StartRunOrder): WorkerReply {
    const refusal = this.#checkOrder(order);
    if (refusal !== undefined) {
      return this.#createReply(refusal);
    }
    const { task, run } = order;
    const running = this.#running.get(task);
    if (order.leaseUntilMs <= this.clockMs) {
      return this.#createReply("past_lease");
    }
    this.#extendLease(order.leaseUntilMs);
    if (running?.run === run) {
      return this.#createReply(undefined);
    }
    if (run <= (this.#highestEndedRuns.get(task) ?? 0)) {
      return this.#createReply("old_run");
    }
    if (this.#running.size >= SLOTS) {
      return this.#createReply("no_room");
    }
    const { time, onStart, getDurationMs } = this.#options;
    onStart(task);
    const endEvent = time.schedule(
      getDurationMs(task),
      () => this.#endRun(task, "done"),
      { getProcess: () => undefined },
    );
    this.#running.set(task, { task, run, endEvent, isStopping: false });
    return this.#createReply(undefined);
  }

  executeStop(order: StopRunOrder): WorkerReply {
    const refusal = this.#checkOrder(order);
    if (refusal !== undefined) {
      return this.#createReply(refusal);
    }
    const { time, random } = this.#options;
    const running = this.#running.get(order.task);
    this.#recordEndedRun(order.task, order.run);
    if (
      running !== undefined && running.run <= order.run && !running.isStopping
    ) {
      running.isStopping = true;
      time.schedule(random.getInt(1, MAX_STOP_MS), () => {
        if (this.#running.get(order.task) === running) {
          this.#endRun(order.task, "stopped");
        }
      }, { getProcess: () => undefined });
    }
    return this.#createReply(undefined);
  }

  /** Executes a renewal; responds when a run has ended or the wait is over. */
  executeRenewal(
    renewal: LeaseRenewal,
    respond: (reply: WorkerReply | LeaseReport) => void,
  ): void {
    const refusal = this.#checkOrder(renewal);
    if (refusal !== undefined) {
      respond(this.#createReply(refusal));
      return;
    }
    if (renewal.leaseUntilMs !== undefined) {
      this.#extendLease(renewal.leaseUntilMs);
    }
    this.#ended = this.#ended.filter(({ sequence }) =>
      sequence > renewal.confirmedUpTo
    );
    if (this.#ended.length > 0 || renewal.waitMs === 0) {
      respond(this.#createReport());
      return;
    }
    const respondOnce = () => {
      if (this.#waitingRenewals.delete(respondOnce)) {
        respond(this.#createReport());
      }
    };
    this.#waitingRenewals.add(respondOnce);
    this.#options.time.schedule(renewal.waitMs, respondOnce, {
      getProcess: () => undefined,
    });
  }

  #checkOrder(order: WorkerOrder): WorkerRefusal | undefined {
    if (order.workerId !== this.#id) {
      return "other_worker";
    }
    if (order.fence < this.#fence) {
      return "stale_fence";
    }
    this.#fence = order.fence;
    return undefined;
  }

  #extendLease(untilMs: number): void {
    const latestMs = Math.min(untilMs, this.clockMs + MAX_LEASE_MS);
    if (latestMs <= this.#leaseUntilMs) {
      return;
    }
    this.#leaseUntilMs = latestMs;
    const life = this.#lifeCount;
    this.#options.time.schedule(
      (latestMs - this.clockMs) / this.#clockRate,
      () => {
        if (life === this.#lifeCount && this.#leaseUntilMs === latestMs) {
          [...this.#running.keys()].forEach((task) =>
            this.#endRun(task, "lost")
          );
        }
      },
      { getProcess: () => undefined },
    );
  }

  #endRun(task: string, outcome: RunOutcome): void {
    const running = this.#running.get(task);
    if (running === undefined) {
      return;
    }
    running.endEvent.isCancelled = true;
    this.#running.delete(task);
    const { run } = running;
    this.#recordEndedRun(task, run);
    this.#sequence++;
    const sequence = this.#sequence;
    this.#ended.push({ sequence, task, run, outcome, detail: outcome });
    this.#options.onEnd(task, outcome);
    [...this.#waitingRenewals].forEach((respond) => respond());
  }

  #recordEndedRun(task: string, run: number): void {
    const highest = this.#highestEndedRuns.get(task) ?? 0;
    this.#highestEndedRuns.set(task, Math.max(highest, run));
  }

  #createReply(refusal: WorkerRefusal | undefined): WorkerReply {
    return { kind: "reply", refusal, workerClockMs: Math.floor(this.clockMs) };
  }

  #createReport(): LeaseReport {
    return {
      kind: "report",
      workerClockMs: Math.floor(this.clockMs),
      bornAtMs: this.#bornAtMs,
      running: [...this.#running.values()].map(({ task, run }) => ({
        ...{ task, run, progressPercent: 0, usedCpuMillis: undefined },
      })),
      ended: [...this.#ended],
    };
  }
}
