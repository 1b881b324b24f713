import { type DispatchError, ERROR_RESPONSES } from "../state/errors/mod.ts";
import type { CtlAnswer } from "./ctl_answer.ts";
import { getExitCode } from "./get_exit_code.ts";

/**
 * Creates the answer of a failed command.
 * @param error - What went wrong.
 * @param details - Further fields for scripts.
 */
export function createFailure(
  error: DispatchError,
  details: Record<string, unknown> = {},
): CtlAnswer {
  const { outcome } = ERROR_RESPONSES[error.kind];
  return {
    exitCode: getExitCode(error.kind),
    text: `${error.kind}: ${error.message}`,
    value: { status: "failed", error: { ...error, outcome }, ...details },
  };
}
