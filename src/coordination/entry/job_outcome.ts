import type { DispatchError, TaskOutcome } from "../../state/errors/mod.ts";
import type { TaskAnswer } from "./task_answer.ts";
import type { TaskFailure } from "./task_failure.ts";

/**
 * The outcome of a job: every answer, or a failure with a reason for each task.
 */
export type JobOutcome =
  | { readonly type: "complete"; readonly answers: readonly TaskAnswer[] }
  | {
    readonly type: "failed";
    readonly error: DispatchError;
    /** The outcome of the job as a whole. */
    readonly outcome: TaskOutcome;
    /**
     * Tasks without an answer, and tasks whose answer is withheld because the
     * job failed.
     */
    readonly tasks: readonly TaskFailure[];
  };
