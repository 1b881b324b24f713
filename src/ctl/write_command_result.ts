import type { CommandResult } from "./command_result.ts";

/**
 * Writes the answer of a command, failures to the standard error, and sets the
 * exit code of the process.
 */
export function writeCommandResult(
  answer: CommandResult,
  options: { json: boolean },
): void {
  if (options.json) {
    console.log(JSON.stringify(answer.value));
  } else if (answer.value["status"] === "failed") {
    console.error(answer.text);
  } else {
    console.log(answer.text);
  }
  process.exitCode = answer.exitCode;
}
