import type { CommandResult } from "./command_result.ts";

/**
 * Writes the result of a command to the standard output, or to the standard
 * error if the command failed and `json` is false, and sets the exit code of
 * the process.
 */
export function writeCommandResult(
  result: CommandResult,
  options: { json: boolean },
): void {
  if (options.json) {
    console.log(JSON.stringify(result.value));
  } else if (result.value["status"] === "failed") {
    console.error(result.text);
  } else {
    console.log(result.text);
  }
  process.exitCode = result.exitCode;
}
