import { hasRoom } from "./has_room.ts";
import type { QueuedRun } from "./queued_run.ts";
import type { TaskResources } from "./task_resources.ts";

/** Priorities that load figures tell apart; later ones count as the last. */
const PRIORITIES = 4;

export interface TakeRunOptions {
  /** Monotonic clock in milliseconds. */
  now: number;
  /** Learned slowdown of the worker. */
  slowdown: number;
}

/**
 * The runs that wait at an agent for room on its worker. It answers bursts above
 * the capacity: urgent runs pass others; of equal ones those pass whose job can
 * still meet its latency target, since in their order all would miss it; a run
 * that can't end before its answer is due is taken out at once.
 */
export class RunQueue<T extends QueuedRun> {
  #runs: T[] = [];

  get size(): number {
    return this.#runs.length;
  }

  /** Adds a run behind those of its priority. */
  add(run: T): void {
    let index = this.#runs.length;
    while (index > 0 && (this.#runs[index - 1] as T).priority > run.priority) {
      index--;
    }
    this.#runs.splice(index, 0, run);
  }

  /**
   * Takes the next run that fits into the free resources: of the most urgent
   * ones the first whose job can still meet its latency target, or the first
   * one if there is none.
   */
  takeNext(
    free: TaskResources,
    options: TakeRunOptions,
  ): T | undefined {
    const first = this.#runs.findIndex((run) => hasRoom(free, run.resources));
    if (first < 0) {
      return undefined;
    }
    const { now, slowdown } = options;
    const { priority } = this.#runs[first] as T;
    const inTime = this.#runs.findIndex((run) =>
      run.priority === priority && hasRoom(free, run.resources) &&
      now + run.expectedMs * slowdown <= run.latencyTargetAt
    );
    return this.#runs.splice(inTime < 0 ? first : inTime, 1)[0];
  }

  /**
   * Takes out the runs that can't end before their answer is due.
   */
  takeExpired({ now, slowdown }: TakeRunOptions): T[] {
    return this.removeWhere((run) =>
      now + run.expectedMs * slowdown > run.deadlineAt
    );
  }

  /** Takes out the runs that match. */
  removeWhere(matches: (run: T) => boolean): T[] {
    const removed = this.#runs.filter(matches);
    if (removed.length > 0) {
      this.#runs = this.#runs.filter((run) => !matches(run));
    }
    return removed;
  }

  /**
   * Gets the number of waiting runs and their run time together by priority, in
   * milliseconds on a worker of average speed.
   */
  getBacklog(): { runs: number[]; expectedMs: number[] } {
    const runs = new Array<number>(PRIORITIES).fill(0);
    const expectedMs = new Array<number>(PRIORITIES).fill(0);
    for (const run of this.#runs) {
      const index = Math.min(PRIORITIES - 1, run.priority);
      runs[index] = (runs[index] as number) + 1;
      expectedMs[index] = (expectedMs[index] as number) + run.expectedMs;
    }
    return { runs, expectedMs };
  }
}
