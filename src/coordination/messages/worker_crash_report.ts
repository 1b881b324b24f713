import type { CrashedRun } from "../../state/batch/mod.ts";

/** Reports to the entries that a worker has crashed, and under which runs. */
export interface WorkerCrashReport {
  /** Identifies the crash; a later report of it may name further runs. */
  id: string;
  /** Time since the crash, in milliseconds. */
  ageMs: number;
  runs: CrashedRun[];
}
