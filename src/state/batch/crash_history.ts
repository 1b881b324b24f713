/**
 * What is known of the tasks under which workers have crashed. Agents report
 * each crash to all entries, so the counts outlive the entry of a job, and hold
 * when its client submits it again elsewhere.
 */
import type { WorkerCrash } from "./worker_crash.ts";

/**
 * Time for which a crash is remembered, in milliseconds. Clients give a job up
 * long before that.
 */
const RETENTION_MS = 120_000;

/** Maximum number of crashes that are remembered; the oldest go first. */
const MAX_CRASHES = 1_000;

/**
 * Crashes under a task after which it is given up. One crash may be another
 * task's doing.
 */
const MAX_CRASHES_PER_TASK = 2;

export class CrashHistory {
  readonly #crashes = new Map<string, WorkerCrash>();
  readonly #countsByTask = new Map<string, number>();

  /** Gets the number of workers that have crashed under a task. */
  getCount(task: string): number {
    return this.#countsByTask.get(task) ?? 0;
  }

  /** Returns whether a task must not be started again. */
  isGivenUp(task: string): boolean {
    return this.getCount(task) >= MAX_CRASHES_PER_TASK;
  }

  /** Gets the known crashes under a task. */
  getCrashes(task: string): WorkerCrash[] {
    return [...this.#crashes.values()].filter(({ runs }) =>
      runs.some((run) => run.task === task)
    );
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
    }
    this.#crashes.set(crash.id, {
      ...crash,
      runs: [...known?.runs ?? [], ...runs],
    });
    return { ...crash, runs };
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
      }
    }
  }
}
