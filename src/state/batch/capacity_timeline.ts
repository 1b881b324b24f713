import type { TaskResources } from "./task_resources.ts";
import type { WorkerLoad } from "./worker_load.ts";

/**
 * Expected wait for a free slot beyond this entry's share, in milliseconds:
 * other entries see it as free too and may use it before the next report.
 */
const SHARED_SLOT_WAIT_MS = 15;

/**
 * Estimates when a worker has room for the next tasks of one size. The worker
 * is divided into slots that hold one such task each, and each slot in use has
 * a time until it is free. Entries do not see each other's tasks between two
 * reports, so each one uses its share of the free slots first.
 */
export class CapacityTimeline {
  readonly #load: WorkerLoad;
  readonly #priority: number;
  #ownSlots: number;
  #sharedSlots: number;
  /**
   * Times until the slots in use are free, in milliseconds, ascending; created
   * when first needed.
   */
  #slotTimesMs: number[] | undefined;

  /**
   * @param load - Load of the worker.
   * @param task - Resources and priority of one task. Queued runs of the same
   * or a more urgent priority are started before it.
   */
  constructor(
    load: WorkerLoad,
    task: { resources: TaskResources; priority: number },
  ) {
    this.#load = load;
    this.#priority = task.priority;
    const free = hasQueue(load.queuedRuns, task.priority)
      ? 0
      : countSlots(load.free, task.resources);
    this.#ownSlots = Math.floor(
      free * load.ownSlotShare + load.slotRoundingOffset,
    );
    this.#sharedSlots = Math.max(0, free - this.#ownSlots);
  }

  /** Gets the time until there is room for the next task, in milliseconds. */
  get nextStartMs(): number {
    if (this.#ownSlots > 0) {
      return 0;
    }
    const firstEndMs = this.#getSlotTimes()[0] ?? Infinity;
    return this.#sharedSlots > 0
      ? Math.min(SHARED_SLOT_WAIT_MS, firstEndMs)
      : firstEndMs;
  }

  /**
   * Gets a time that the start of the first task is not before, in milliseconds. It
   * needs less work than `nextStartMs`.
   */
  get minStartMs(): number {
    if (this.#ownSlots > 0) {
      return 0;
    }
    let firstEndMs = this.#load.runningLeftMs[0] ?? 0;
    for (const leftMs of this.#load.runningLeftMs) {
      firstEndMs = leftMs < firstEndMs ? leftMs : firstEndMs;
    }
    return this.#sharedSlots > 0
      ? Math.min(SHARED_SLOT_WAIT_MS, firstEndMs)
      : firstEndMs;
  }

  /** Occupies the slot that is free first for `runMs` milliseconds. */
  reserve(runMs: number): void {
    const startMs = this.nextStartMs;
    if (this.#ownSlots > 0) {
      this.#ownSlots--;
    } else if (startMs === SHARED_SLOT_WAIT_MS && this.#sharedSlots > 0) {
      this.#sharedSlots--;
    } else {
      this.#getSlotTimes().shift();
    }
    insertSorted(this.#getSlotTimes(), startMs + runMs);
  }

  #getSlotTimes(): number[] {
    this.#slotTimesMs ??= createSlotTimes(this.#load, this.#priority);
    return this.#slotTimesMs;
  }
}

/**
 * Gets the times until the slots in use are free, in milliseconds and
 * ascending, with the queued runs assigned to them.
 */
function createSlotTimes(load: WorkerLoad, priority: number): number[] {
  const times = [...load.runningLeftMs].sort((a, b) => a - b);
  // Assumes that half of the other entries send a task here before the next
  // report, and that each of these tasks uses the slot that is free first.
  const otherEntryCount = Math.round(1 / load.ownSlotShare) - 1;
  times.splice(0, Math.min(Math.floor(otherEntryCount / 2), times.length - 1));
  for (let queuePriority = 0; queuePriority <= priority; queuePriority++) {
    const runs = load.queuedRuns[queuePriority] ?? 0;
    const meanMs = (load.queuedMs[queuePriority] ?? 0) / Math.max(1, runs);
    for (let n = 0; n < runs; n++) {
      insertSorted(times, (times.shift() ?? 0) + meanMs);
    }
  }
  return times;
}

/** Inserts a time into ascending times. */
function insertSorted(times: number[], time: number): void {
  const index = times.findIndex((other) => other > time);
  times.splice(index < 0 ? times.length : index, 0, time);
}

/** Returns whether runs of the same or a more urgent priority are queued. */
function hasQueue(queuedRuns: readonly number[], priority: number): boolean {
  for (let queued = 0; queued <= priority; queued++) {
    if ((queuedRuns[queued] ?? 0) > 0) {
      return true;
    }
  }
  return false;
}

/** Counts how many tasks of one size fit into the free resources together. */
function countSlots(free: TaskResources, task: TaskResources): number {
  const byCpu = free.cpuMillis / Math.max(1, task.cpuMillis);
  const byMemory = free.memoryMb / Math.max(1, task.memoryMb);
  const byGpu = task.gpus > 0 ? free.gpus / task.gpus : Infinity;
  return Math.max(0, Math.floor(Math.min(byCpu, byMemory, byGpu)));
}
