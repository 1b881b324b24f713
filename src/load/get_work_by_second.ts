import type { TaskExecution } from "./task_execution.ts";

export interface WorkBySecondOptions {
  /** Speed of each worker. */
  speeds: readonly number[];
  seconds: number;
  /** Returns whether the execution of a task counts at a time. */
  isCounted: (run: TaskExecution, timeMs: number) => boolean;
}

/**
 * Gets the work that was done in each second, in milliseconds of run time at
 * speed 1.
 */
export function getWorkBySecond(
  runs: readonly TaskExecution[],
  options: WorkBySecondOptions,
): number[] {
  const { speeds, seconds, isCounted } = options;
  const work = Array.from({ length: seconds }, () => 0);
  for (const run of runs) {
    const last = Math.min(seconds - 1, Math.floor(run.endMs / 1_000));
    for (
      let second = Math.floor(run.startMs / 1_000);
      second <= last;
      second++
    ) {
      const from = Math.max(run.startMs, second * 1_000);
      const to = Math.min(run.endMs, (second + 1) * 1_000);
      if (second >= 0 && isCounted(run, from)) {
        const speed = speeds[run.worker] ?? 0;
        work[second] = (work[second] ?? 0) + (to - from) * speed;
      }
    }
  }
  return work;
}
