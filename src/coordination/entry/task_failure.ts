import type { DispatchError, TaskOutcome } from "../../state/errors/mod.ts";

/** Why a task has no answer, and whether it ran. */
export interface TaskFailure {
  readonly index: number;
  readonly error: DispatchError;
  readonly outcome: TaskOutcome;
}
