import type { TaskExecution } from "./task_execution.ts";

export interface WorkBySecondOptions {
  /** Speed of each worker. */
  speeds: readonly number[];
  seconds: number;
  /** Returns whether the execution of a task counts at a time. */
  isCounted: (execution: TaskExecution, timeMs: number) => boolean;
}

/**
 * Gets the work that was done in each second, in milliseconds of run time at
 * speed 1.
 */
export function getWorkBySecond(
  executions: readonly TaskExecution[],
  options: WorkBySecondOptions,
): number[] {
  const { speeds, seconds, isCounted } = options;
  const work = Array.from({ length: seconds }, () => 0);
  for (const execution of executions) {
    const last = Math.min(seconds - 1, Math.floor(execution.endMs / 1_000));
    for (
      let second = Math.floor(execution.startMs / 1_000);
      second <= last;
      second++
    ) {
      const from = Math.max(execution.startMs, second * 1_000);
      const to = Math.min(execution.endMs, (second + 1) * 1_000);
      if (second >= 0 && isCounted(execution, from)) {
        const speed = speeds[execution.worker] ?? 0;
        work[second] = (work[second] ?? 0) + (to - from) * speed;
      }
    }
  }
  return work;
}
