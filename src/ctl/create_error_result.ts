import { type DispatchError, ERROR_RESPONSES } from "../state/errors/mod.ts";
import type { CommandResult } from "./command_result.ts";
import { getExitCode } from "./get_exit_code.ts";

/**
 * Creates the result of a failed command.
 * @param error - Error that the command failed with.
 * @param details - Additional fields of the JSON output.
 */
export function createErrorResult(
  error: DispatchError,
  details: Record<string, unknown> = {},
): CommandResult {
  const { outcome } = ERROR_RESPONSES[error.kind];
  return {
    exitCode: getExitCode(error.kind),
    text: `${error.kind}: ${error.message}`,
    value: { status: "failed", error: { ...error, outcome }, ...details },
  };
}
