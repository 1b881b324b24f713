/** Reports to an entry how a run ended, or that it never started. */
export interface RunEnd {
  task: string;
  run: number;
  /** A `RunOutcome`. */
  outcome: string;
  /** Run time at the worker in milliseconds, or 0 if unknown. */
  runMs: number;
  /** Reason for the outcome, for logs. */
  detail: string;
}
