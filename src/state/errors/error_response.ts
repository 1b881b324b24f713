import type { TaskOutcome } from "./task_outcome.ts";

/** The answer that belongs to an error kind. */
export interface ErrorResponse {
  /** HTTP status code of the answer. */
  readonly status: number;
  /** What the answer states about the task or the submission. */
  readonly outcome: TaskOutcome;
}
