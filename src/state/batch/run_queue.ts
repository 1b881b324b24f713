import { hasRoom } from "./has_room.ts";
import type { QueuedRun } from "./queued_run.ts";
import type { TaskResources } from "./task_resources.ts";

/**
 * Priorities that the backlog distinguishes; less urgent ones count as the
 * last.
 */
const PRIORITY_COUNT = 4;

export interface TakeRunOptions<T extends QueuedRun = QueuedRun> {
  /** Current time on the monotonic clock, in milliseconds. */
  now: number;
  /** Estimated factor by which the worker exceeds expected run times. */
  slowdown: number;
  /** Returns whether a run may be started now; by default all may. */
  canStart?: (run: T) => boolean;
}

/**
 * The runs that wait at an agent for room on its worker, ordered for bursts
 * above the capacity. Urgent runs come first. Among runs of one priority, those
 * whose job can still meet its latency target come first, because in order of
 * arrival all of them would miss it. Runs that can't end before their deadline
 * can be taken out at once.
 */
export class RunQueue<T extends QueuedRun> {
  #runs: T[] = [];

  get size(): number {
    return this.#runs.length;
  }

  /** Gets the queued runs, urgent ones first. */
  get runs(): readonly T[] {
    return this.#runs;
  }

  /** Adds a run behind those of the same or a more urgent priority. */
  add(run: T): void {
    let index = this.#runs.length;
    while (index > 0 && (this.#runs[index - 1] as T).priority > run.priority) {
      index--;
    }
    this.#runs.splice(index, 0, run);
  }

  /**
   * Takes the next run that may start and fits into the free resources: among
   * the most urgent of these, the first one whose job can still meet its latency
   * target, or the first one if there is none.
   */
  takeNext(
    free: TaskResources,
    options: TakeRunOptions<T>,
  ): T | undefined {
    const isCandidate = (run: T) =>
      hasRoom(free, run.resources) && (options.canStart?.(run) ?? true);
    const firstIndex = this.#runs.findIndex(isCandidate);
    if (firstIndex < 0) {
      return undefined;
    }
    const { now, slowdown } = options;
    const { priority } = this.#runs[firstIndex] as T;
    const inTimeIndex = this.#runs.findIndex((run) =>
      run.priority === priority && isCandidate(run) &&
      now + run.expectedMs * slowdown <= run.latencyTargetAt
    );
    return this.#runs.splice(inTimeIndex < 0 ? firstIndex : inTimeIndex, 1)[0];
  }

  /** Takes out the runs that can't end before their deadline. */
  takeExpired(
    { now, slowdown }: Pick<TakeRunOptions, "now" | "slowdown">,
  ): T[] {
    return this.removeWhere((run) =>
      now + run.expectedMs * slowdown > run.deadlineAt
    );
  }

  /**
   * Takes out the runs whose `recheckAt` has come and that `isLate` finds better
   * placed elsewhere; the others wait on, and are not checked again.
   */
  takeOverdue(now: number, isLate: (run: T) => boolean): T[] {
    return this.removeWhere((run) => {
      if (run.recheckAt === undefined || now < run.recheckAt) {
        return false;
      }
      run.recheckAt = Infinity;
      return isLate(run);
    });
  }

  /** Takes out and returns the runs that match. */
  removeWhere(matches: (run: T) => boolean): T[] {
    const removed = this.#runs.filter(matches);
    if (removed.length > 0) {
      const removedRuns = new Set(removed);
      this.#runs = this.#runs.filter((run) => !removedRuns.has(run));
    }
    return removed;
  }

  /**
   * Gets the number of queued runs by priority, and their total run time by
   * priority in milliseconds, as expected on a worker of average speed.
   */
  getBacklog(): { runs: number[]; expectedMs: number[] } {
    const runs = new Array<number>(PRIORITY_COUNT).fill(0);
    const expectedMs = new Array<number>(PRIORITY_COUNT).fill(0);
    for (const run of this.#runs) {
      const index = Math.min(PRIORITY_COUNT - 1, run.priority);
      runs[index] = (runs[index] as number) + 1;
      expectedMs[index] = (expectedMs[index] as number) + run.expectedMs;
    }
    return { runs, expectedMs };
  }
}
