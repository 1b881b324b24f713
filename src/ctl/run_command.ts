import { createError } from "../state/errors/mod.ts";
import { hasher } from "../state/hashing/mod.ts";
import { createCtlContext } from "./create_ctl_context.ts";
import { createErrorResult } from "./create_error_result.ts";
import type { CommandResult } from "./command_result.ts";
import type { CtlContext } from "./ctl_context.ts";
import type { CtlFlags } from "./ctl_flags.ts";
import { readViewFromLog } from "./read_view_from_log.ts";
import { readViewFromProcess } from "./read_view_from_process.ts";
import { writeCommandResult } from "./write_command_result.ts";

/**
 * Runs a command on a view of the log or of a process, prints its result and
 * ends the process.
 * @param flags - The common options.
 * @param command - Function that carries out the command.
 */
export async function runCommand(
  flags: CtlFlags,
  command: (context: CtlContext) => Promise<CommandResult> | CommandResult,
): Promise<void> {
  await hasher.compiled;
  const result = await executeCommand(flags, command);
  writeCommandResult(result, flags);
  // Keep-alive connections to the log would keep the process running until they
  // time out.
  process.stdout.write("", () => process.exit());
}

async function executeCommand(
  flags: CtlFlags,
  command: (context: CtlContext) => Promise<CommandResult> | CommandResult,
): Promise<CommandResult> {
  const context = createCtlContext(flags);
  if (context.isErr()) {
    return createErrorResult(context.error);
  }
  const address = flags.process ?? "";
  const read = address === ""
    ? await readViewFromLog(context.value)
    : await readViewFromProcess(context.value, address);
  if (read.isErr()) {
    return createErrorResult(read.error);
  }
  try {
    return await command(context.value);
  } catch (error) {
    return createErrorResult(createError("internal", (error as Error).message));
  }
}
