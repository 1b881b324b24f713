import type { RunOutcome } from "../../state/batch/mod.ts";

/** A run that a worker reports as ended. */
export interface EndedRun {
  /** Sequence number of the end within one worker incarnation, from 1. */
  readonly sequence: number;
  readonly task: string;
  readonly run: number;
  readonly outcome: RunOutcome;
  readonly detail: string;
}
