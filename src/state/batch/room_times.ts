import type { TaskResources } from "./task_resources.ts";
import type { WorkerLoad } from "./worker_load.ts";

/** Free places are counted up to this number; a job seldom has more tasks. */
const MAX_FREE_PLACES = 64;

/**
 * When a worker has room for the next tasks of one size: a place is a part of
 * the worker that holds one such task, and each place has the time until it is
 * free.
 */
export class RoomTimes {
  readonly #times: number[];

  /**
   * @param load - Load of the worker.
   * @param task - Resources of one task, and its priority: waiting runs that
   * are as urgent or more are served before it.
   */
  constructor(
    load: WorkerLoad,
    task: { resources: TaskResources; priority: number },
  ) {
    const free = countPlaces(load.free, task.resources);
    this.#times = [
      ...new Array<number>(free).fill(0),
      ...[...load.runningLeftMs].sort((a, b) => a - b),
    ];
    this.#addQueue(load, task.priority);
  }

  /** Gets the time until the next task has room, in milliseconds. */
  get next(): number {
    return this.#times[0] ?? Infinity;
  }

  /** Takes the place that is free first for a time, in milliseconds. */
  take(runMs: number): void {
    const startMs = this.#times.shift();
    if (startMs !== undefined) {
      const endMs = startMs + runMs;
      const at = this.#times.findIndex((time) => time > endMs);
      this.#times.splice(at < 0 ? this.#times.length : at, 0, endMs);
    }
  }

  #addQueue(load: WorkerLoad, priority: number): void {
    for (let rank = 0; rank <= priority; rank++) {
      const runs = load.queuedRuns[rank] ?? 0;
      const meanMs = (load.queuedMs[rank] ?? 0) / Math.max(1, runs);
      for (let n = 0; n < runs; n++) {
        this.take(meanMs);
      }
    }
  }
}

/** Counts how often a task fits into resources at the same time. */
function countPlaces(free: TaskResources, task: TaskResources): number {
  const parts = [
    free.cpuMillis / Math.max(1, task.cpuMillis),
    free.memoryMb / Math.max(1, task.memoryMb),
    task.gpus > 0 ? free.gpus / task.gpus : Infinity,
  ];
  return Math.max(0, Math.floor(Math.min(MAX_FREE_PLACES, ...parts)));
}
