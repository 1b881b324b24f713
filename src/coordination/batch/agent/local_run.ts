import type { QueuedRun } from "../../../state/batch/mod.ts";
import type { RunOwner } from "./run_owner.ts";

/** A run that an agent holds for an entry. */
export interface LocalRun extends QueuedRun {
  /** Rises when the worker has seen a run of the task with this number. */
  run: number;
  readonly jobId: string;
  readonly spec: string;
  readonly owner: RunOwner;
  state: "queued" | "starting" | "uncertain" | "running" | "stopping";
  /** Is the run to be stopped as soon as the answer to its start is known? */
  isStopRequested: boolean;
  /**
   * Lowest fence of a report that settles an unanswered start: under it the
   * worker ignores the start if it is still on its way.
   */
  settlingFence: number;
  /** When the start was sent, on the monotonic clock. */
  startedAt: number;
  /** When the last stop was sent, on the monotonic clock. */
  stopSentAt: number;
  /** Lease reports in a row that should have listed the run and did not. */
  missedReports: number;
}
