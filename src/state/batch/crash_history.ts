/**
 * What is known of the tasks under which workers have crashed. Agents report
 * each crash to all entries, so this outlives the entry of a job, and holds when
 * its client submits it again elsewhere.
 */
import type { CrashedRun } from "./crashed_run.ts";
import type { CrashVerdict } from "./crash_verdict.ts";
import { SAME_POINT_TOLERANCE_MS } from "./same_point_tolerance_ms.ts";
import type { WorkerCrash } from "./worker_crash.ts";

/**
 * Time for which a crash is remembered, in milliseconds. Clients give a job up
 * long before that.
 */
const RETENTION_MS = 120_000;

/** Maximum number of crashes that are remembered; the oldest go first. */
const MAX_CRASHES = 1_000;

/**
 * Crashes after which a task is the cause of at least two. A run may have ended
 * right before a crash without the agent's knowledge.
 */
const MAX_CERTAIN_CRASHES = 3;

/** Crashes after which a task is not started again, whatever caused them. */
const MAX_CRASHES_PER_TASK = 4;

export class CrashHistory {
  readonly #crashes = new Map<string, WorkerCrash>();
  readonly #crashesByTask = new Map<string, WorkerCrash[]>();
  /** Crashes that agents know of, also those before the start of this entry. */
  readonly #countsByTask = new Map<string, number>();

  /** Gets the number of workers that have crashed under a task. */
  getCount(task: string): number {
    return this.#countsByTask.get(task) ?? 0;
  }

  /** Gets the known crashes under a task. */
  getCrashes(task: string): readonly WorkerCrash[] {
    return this.#crashesByTask.get(task) ?? [];
  }

  /** Gets the run time of a task before its latest crash in ms, 0 if none. */
  getLatestRunTimeMs(task: string): number {
    const latest = this.getCrashes(task).at(-1);
    return latest?.runs.find((run) => run.task === task)?.ranMs ?? 0;
  }

  /** Returns whether a task crashed two workers at the same point of its work. */
  hasCrashedAtSamePoint(task: string): boolean {
    const times = this.#getCertainRuns(task).map(({ ranMs }) => ranMs)
      .sort((a, b) => a - b);
    return times.some((ranMs, n) =>
      n > 0 && ranMs - (times[n - 1] as number) < SAME_POINT_TOLERANCE_MS
    );
  }

  /** Decides whether a task may be started again. */
  getVerdict(task: string): CrashVerdict {
    if (!this.#countsByTask.has(task) && !this.#crashesByTask.has(task)) {
      return "may_start";
    }
    if (
      this.hasCrashedAtSamePoint(task) ||
      this.#getCertainRuns(task).length >= MAX_CERTAIN_CRASHES
    ) {
      return "crashes_workers";
    }
    return this.getCount(task) >= MAX_CRASHES_PER_TASK
      ? "unclear"
      : "may_start";
  }

  /**
   * Adds a crash, or further runs of a known one.
   * @returns The crash with the runs that were not known of it yet.
   */
  record(crash: WorkerCrash): WorkerCrash {
    this.#removeOld(crash.at);
    const known = this.#crashes.get(crash.id);
    const knownTasks = new Set(known?.runs.map(({ task }) => task));
    const runs = crash.runs.filter(({ task }) => !knownTasks.has(task));
    for (const { task, earlierCrashes } of runs) {
      const count = Math.max(this.getCount(task), earlierCrashes) + 1;
      this.#countsByTask.set(task, count);
      this.#crashesByTask.set(task, [...this.getCrashes(task), crash]);
    }
    this.#crashes.set(crash.id, {
      ...crash,
      runs: [...known?.runs ?? [], ...runs],
    });
    return { ...crash, runs };
  }

  #getCertainRuns(task: string): CrashedRun[] {
    return this.getCrashes(task).flatMap(({ runs }) =>
      runs.filter((run) => run.task === task && run.hasStarted)
    );
  }

  #removeOld(now: number): void {
    for (const [id, crash] of this.#crashes) {
      const isOld = now - crash.at > RETENTION_MS;
      if (!isOld && this.#crashes.size < MAX_CRASHES) {
        return;
      }
      this.#crashes.delete(id);
      for (const { task } of crash.runs) {
        this.#countsByTask.delete(task);
        this.#crashesByTask.delete(task);
      }
    }
  }
}
