/** Tells an entry how a run ended, or that it never started. */
export interface RunEnd {
  task: string;
  run: number;
  /** One of `RunOutcome`. */
  outcome: string;
  /** Time between start and end at the worker, in milliseconds; 0 if unknown. */
  runMs: number;
  /** Reason, for logs. */
  detail: string;
}
