import type { RunOutcome } from "../../state/batch/mod.ts";

/** A run that a worker lists as ended. */
export interface EndedRun {
  /** Counts the ends of one life of the worker, from 1. */
  readonly sequence: number;
  readonly task: string;
  readonly run: number;
  readonly outcome: RunOutcome;
  readonly detail: string;
}
