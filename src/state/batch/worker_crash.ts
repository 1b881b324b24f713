import type { CrashedRun } from "./crashed_run.ts";

/** A worker that ended without notice, and the runs that it had. */
export interface WorkerCrash {
  /** Identifies the crash; later reports of it may name further runs. */
  readonly id: string;
  readonly agentId: string;
  /** Time of the crash on the monotonic clock, in milliseconds. */
  readonly at: number;
  readonly runs: readonly CrashedRun[];
}
