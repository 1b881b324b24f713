import type { TaskResources } from "./task_resources.ts";
import type { WorkerLoad } from "./worker_load.ts";

/**
 * Expected wait for a free place beyond this entry's share, in milliseconds:
 * other entries see it as free too and may take it before the next report.
 */
const SHARED_PLACE_MS = 15;

/**
 * When a worker has room for the next tasks of one size: a place is a part of
 * the worker that holds one such task, and each place has the time until it is
 * free. Entries do not see each other's tasks between two reports, so each one
 * takes its share of the free places first.
 */
export class CapacityTimeline {
  readonly #load: WorkerLoad;
  readonly #priority: number;
  #ownPlaces: number;
  #sharedPlaces: number;
  /** Times of the places that are in use, in order; made when first needed. */
  #times: number[] | undefined;

  /**
   * @param load - Load of the worker.
   * @param task - Resources of one task, and its priority: waiting runs that
   * are as urgent or more are served before it.
   */
  constructor(
    load: WorkerLoad,
    task: { resources: TaskResources; priority: number },
  ) {
    this.#load = load;
    this.#priority = task.priority;
    const hasQueue = load.queuedRuns.some((runs, rank) =>
      rank <= task.priority && runs > 0
    );
    const free = hasQueue ? 0 : countPlaces(load.free, task.resources);
    this.#ownPlaces = Math.floor(free * load.ownShare + load.shareRounding);
    this.#sharedPlaces = Math.max(0, free - this.#ownPlaces);
  }

  /** Gets the time until the next task has room, in milliseconds. */
  get nextStartMs(): number {
    if (this.#ownPlaces > 0) {
      return 0;
    }
    const inUse = this.#getTimes()[0] ?? Infinity;
    return this.#sharedPlaces > 0 ? Math.min(SHARED_PLACE_MS, inUse) : inUse;
  }

  /** Takes the place that is free first for a time, in milliseconds. */
  reserve(runMs: number): void {
    const startMs = this.nextStartMs;
    if (this.#ownPlaces > 0) {
      this.#ownPlaces--;
    } else if (startMs === SHARED_PLACE_MS && this.#sharedPlaces > 0) {
      this.#sharedPlaces--;
    } else {
      this.#getTimes().shift();
    }
    insert(this.#getTimes(), startMs + runMs);
  }

  #getTimes(): number[] {
    this.#times ??= createTimes(this.#load, this.#priority);
    return this.#times;
  }
}

/** Creates the times of the places in use, after the runs that wait. */
function createTimes(load: WorkerLoad, priority: number): number[] {
  const times = [...load.runningLeftMs].sort((a, b) => a - b);
  // Half of the other entries are taken to send a task here before the next
  // report; each of these takes the place that is free first.
  const others = Math.round(1 / load.ownShare) - 1;
  times.splice(0, Math.min(Math.floor(others / 2), times.length - 1));
  for (let rank = 0; rank <= priority; rank++) {
    const runs = load.queuedRuns[rank] ?? 0;
    const meanMs = (load.queuedMs[rank] ?? 0) / Math.max(1, runs);
    for (let n = 0; n < runs; n++) {
      insert(times, (times.shift() ?? 0) + meanMs);
    }
  }
  return times;
}

/** Inserts a time into times that are in order. */
function insert(times: number[], time: number): void {
  const at = times.findIndex((other) => other > time);
  times.splice(at < 0 ? times.length : at, 0, time);
}

/** Counts how often a task fits into resources at the same time. */
function countPlaces(free: TaskResources, task: TaskResources): number {
  const parts = [
    free.cpuMillis / Math.max(1, task.cpuMillis),
    free.memoryMb / Math.max(1, task.memoryMb),
    task.gpus > 0 ? free.gpus / task.gpus : Infinity,
  ];
  return Math.max(0, Math.floor(Math.min(...parts)));
}
