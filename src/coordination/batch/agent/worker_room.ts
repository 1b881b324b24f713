import {
  addResources,
  decideQueueing,
  estimateStartMs,
  type QueueingDecision,
  type RunQueue,
  SlowdownEstimate,
  type TaskResources,
} from "../../../state/batch/mod.ts";
import type { LocalRun } from "./local_run.ts";

/**
 * Least remaining time of a run, as a share of its expected run time. It
 * applies to runs that take longer than expected.
 */
const MIN_REMAINING_SHARE = 0.15;

export interface WorkerRoomOptions {
  /** The agent's runs by task, queued ones included. */
  runs: ReadonlyMap<string, LocalRun>;
  queue: RunQueue<LocalRun>;
  getCapacity: () => TaskResources;
  getTime: () => number;
}

/** The room on a worker, now and as its runs are expected to end. */
export class WorkerRoom {
  readonly #options: WorkerRoomOptions;
  readonly #slowdown: SlowdownEstimate;

  constructor(options: WorkerRoomOptions) {
    this.#options = options;
    this.#slowdown = new SlowdownEstimate({ getTime: options.getTime });
  }

  /** Gets the factor by which the worker exceeds expected run times. */
  get slowdown(): number {
    return this.#slowdown.value;
  }

  /**
   * Gets the factor by which runs exceeded their expected run times on average. Runs
   * are given up by it, since a worker that is distrusted may be sound.
   */
  get meanSlowdown(): number {
    return this.#slowdown.mean;
  }

  /** Gets the resources that no started run uses. */
  get free(): TaskResources {
    let free = this.#options.getCapacity();
    for (const run of this.#options.runs.values()) {
      if (run.state !== "queued") {
        free = addResources(free, run.resources, -1);
      }
    }
    return free;
  }

  /** Records that a run has completed its task. */
  recordDone({ jobId, startedAt, expectedMs }: LocalRun): void {
    const runMs = this.#options.getTime() - startedAt;
    this.#slowdown.record(jobId, runMs, expectedMs);
  }

  /** Gets the expected remaining times of the started runs, in milliseconds. */
  getRemainingTimesMs(): number[] {
    const remainingTimesMs: number[] = [];
    for (const run of this.#options.runs.values()) {
      if (run.state !== "queued") {
        remainingTimesMs.push(Math.round(this.#getRemainingMs(run)));
      }
    }
    return remainingTimesMs;
  }

  /** Decides whether a run is queued, or waits on if it is queued already. */
  decideQueueing(run: LocalRun): QueueingDecision {
    const { runs, queue, getTime } = this.#options;
    if (!run.canBeDeclined) {
      return { kind: "queued" };
    }
    const slowdown = this.slowdown;
    const started = [...runs.values()].filter(({ state }) =>
      state !== "queued"
    );
    const index = queue.runs.indexOf(run);
    const startMs = estimateStartMs({
      free: this.free,
      running: started.map((other) => ({
        resources: other.resources,
        forMs: this.#getRemainingMs(other),
      })),
      queued: queue.runs.slice(0, index < 0 ? queue.size : index)
        .filter(({ priority }) => priority <= run.priority)
        .map(({ resources, expectedMs }) => ({
          resources,
          forMs: expectedMs * slowdown,
        })),
      resources: run.resources,
    });
    return decideQueueing({
      startMs,
      runMs: run.expectedMs * slowdown,
      targetLeftMs: run.latencyTargetAt - getTime(),
      canBeDeclined: run.canBeDeclined,
      detourMs: run.detourMs ?? 0,
    });
  }

  #getRemainingMs({ expectedMs, startedAt }: LocalRun): number {
    const totalMs = expectedMs * this.slowdown;
    const remainingMs = totalMs - (this.#options.getTime() - startedAt);
    return Math.max(MIN_REMAINING_SHARE * totalMs, remainingMs);
  }
}
