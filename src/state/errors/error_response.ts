import type { TaskOutcome } from "./task_outcome.ts";

/** The response to a caller for an error kind. */
export interface ErrorResponse {
  /** HTTP status code of the response. */
  readonly status: number;
  /** What the response states about the task or the submission. */
  readonly outcome: TaskOutcome;
}
