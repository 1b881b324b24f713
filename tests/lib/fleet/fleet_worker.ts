import {
  addResources,
  decideQueueing,
  estimateStartMs,
  RunQueue,
  SlowdownEstimate,
  type TaskResources,
  type WorkerLoad,
} from "../../../src/state/batch/mod.ts";
import type { EventQueue } from "./event_queue.ts";
import { FLEET_LIMITS } from "./fleet_limits.ts";
import type { FleetRun } from "./fleet_run.ts";

/** Least remaining time of a run, as a share of its expected run time. */
const MIN_REMAINING_SHARE = 0.15;

export interface FleetWorkerOptions {
  events: EventQueue;
  agentId: string;
  cpuMillis: number;
  /** Run time relative to that on the slowest workers. */
  runTimeFactor: number;
  /** Number of entries, which all get its reports. */
  entryCount: number;
  /** Least time between two reports to all entries, in milliseconds. */
  reportIntervalMs: number;
  /** Delivers a report to one entry, or to all. */
  sendReport: (entry: number | "all") => void;
}

/** An agent and its worker. */
export class FleetWorker {
  readonly #options: FleetWorkerOptions;
  readonly #capacity: TaskResources;
  readonly #queue = new RunQueue<FleetRun>();
  readonly #running = new Set<FleetRun>();
  readonly #slowdown: SlowdownEstimate;
  /** Number of the last order from each entry. */
  readonly receivedBatches: number[] = [];
  #isReportDue = false;
  #reportedAt = -Infinity;

  constructor(options: FleetWorkerOptions) {
    this.#options = options;
    this.#slowdown = new SlowdownEstimate({
      getTime: () => options.events.now,
    });
    this.#capacity = {
      ...{ cpuMillis: options.cpuMillis, memoryMb: 65_536, gpus: 0 },
    };
  }

  /** Gets the work that the worker does in a second, in seconds on the slowest workers. */
  get speed(): number {
    const { cpuMillis, runTimeFactor } = this.#options;
    const slots = Math.floor(cpuMillis / FLEET_LIMITS.taskResources.cpuMillis);
    return slots / runTimeFactor;
  }

  get #free(): TaskResources {
    let free = this.#capacity;
    for (const { resources } of this.#running) {
      free = addResources(free, resources, -1);
    }
    return free;
  }

  #getLeftMs(run: FleetRun): number {
    const totalMs = run.expectedMs * this.#slowdown.value;
    const leftMs = totalMs - (this.#options.events.now - run.startedAt);
    return Math.max(MIN_REMAINING_SHARE * totalMs, leftMs);
  }

  /**
   * Handles an order: queues the run or declines it.
   * @param batch - Number of the order among those of its entry.
   */
  handleOrder(batch: number, run: FleetRun): void {
    this.receivedBatches[run.entry] = batch;
    const { events } = this.#options;
    const slowdown = this.#slowdown.value;
    const startMs = estimateStartMs({
      free: this.#free,
      running: [...this.#running].map((other) => ({
        resources: other.resources,
        forMs: this.#getLeftMs(other),
      })),
      queued: this.#queue.runs
        .filter(({ priority }) => priority <= run.priority)
        .map((other) => ({
          resources: other.resources,
          forMs: other.expectedMs * slowdown,
        })),
      resources: run.resources,
    });
    const decision = decideQueueing({
      startMs,
      runMs: run.expectedMs * slowdown,
      targetLeftMs: run.latencyTargetAt - events.now,
      canBeDeclined: run.canBeDeclined,
      detourMs: run.detourMs,
    });
    switch (decision.kind) {
      case "declined":
        run.onDecline();
        this.#options.sendReport(run.entry);
        return;
      case "queued":
        this.#queue.add(run);
        events.add(run.startableAt - events.now, () => this.#processQueue());
        return;
      default:
        decision satisfies never;
    }
  }

  #processQueue(): void {
    const { events } = this.#options;
    const takeOptions = {
      now: events.now,
      slowdown: this.#slowdown.value,
      canStart: (run: FleetRun) => events.now >= run.startableAt,
    };
    this.#queue.takeExpired(takeOptions);
    for (;;) {
      const run = this.#queue.takeNext(this.#free, takeOptions);
      if (run === undefined) {
        break;
      }
      run.startedAt = events.now;
      this.#running.add(run);
      const runMs = run.workMs * this.#options.runTimeFactor;
      events.add(runMs, () => this.#endRun(run));
    }
    this.#scheduleReport();
  }

  #endRun(run: FleetRun): void {
    const { events, sendReport } = this.#options;
    this.#running.delete(run);
    const { jobId, startedAt, expectedMs } = run;
    this.#slowdown.record(jobId, events.now - startedAt, expectedMs);
    this.#processQueue();
    run.onEnd(events.now - startedAt);
    sendReport(run.entry);
  }

  #scheduleReport(): void {
    const { events, reportIntervalMs, sendReport } = this.#options;
    if (this.#isReportDue) {
      return;
    }
    this.#isReportDue = true;
    events.add(this.#reportedAt + reportIntervalMs - events.now, () => {
      this.#isReportDue = false;
      this.#reportedAt = events.now;
      sendReport("all");
    });
  }

  createReport(): WorkerLoad {
    const { entryCount, agentId } = this.#options;
    const slowdown = this.#slowdown.value;
    const backlog = this.#queue.getBacklog();
    return {
      ...{ agentId, zone: "a", labels: [], rack: "", capacity: this.#capacity },
      free: this.#free,
      ownSlotShare: 1 / entryCount,
      slotRoundingOffset: 0,
      slowdown,
      runningLeftMs: [...this.#running].map((run) => this.#getLeftMs(run)),
      queuedRuns: backlog.runs,
      queuedMs: backlog.expectedMs.map((ms) => ms * slowdown),
      ...{ failureShare: 0, suspectRuns: 0 },
      reportedAt: this.#options.events.now,
    };
  }
}
