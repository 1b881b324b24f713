import {
  createError,
  type DispatchError,
  ERROR_RESPONSES,
  isErrorKind,
} from "../../state/errors/mod.ts";
import { getDigest } from "../../state/hashing/mod.ts";
import type { DispatchResult } from "../messages/mod.ts";
import type { TaskAnswer } from "./task_answer.ts";
import type { TaskFailure } from "./task_failure.ts";

/**
 * Reads the answer or the failure of a task from the result of an attempt.
 * @param index - Index of the task.
 * @param result - The result, or the reason why there is none.
 */
export function readTaskAnswer(
  index: number,
  result: DispatchResult | DispatchError,
): TaskAnswer | TaskFailure {
  const error = "kind" in result ? result : findError(result);
  if (error !== undefined) {
    return { index, error, outcome: ERROR_RESPONSES[error.kind].outcome };
  }
  const { status, body, digest } = result as DispatchResult;
  return { index, status, body, digest };
}

function findError(result: DispatchResult): DispatchError | undefined {
  if (result.errorKind !== "") {
    const kind = isErrorKind(result.errorKind) ? result.errorKind : "internal";
    return createError(kind, result.message);
  }
  if (getDigest(result.body) !== result.digest) {
    return createError("corrupt_answer", "the answer's digest doesn't match");
  }
  if (result.status >= 500) {
    const message = `the upstream answered with status ${result.status}`;
    return createError("upstream_failed", message);
  }
  return undefined;
}
