import { createError } from "../state/errors/mod.ts";
import { createCtlContext } from "./create_ctl_context.ts";
import { createFailure } from "./create_failure.ts";
import type { CtlAnswer } from "./ctl_answer.ts";
import type { CtlContext } from "./ctl_context.ts";
import type { CtlFlags } from "./ctl_flags.ts";
import { readView } from "./read_view.ts";
import { readViewFromProcess } from "./read_view_from_process.ts";
import { writeAnswer } from "./write_answer.ts";

/**
 * Runs a command on a view of the log, prints its answer and ends the process.
 * @param flags - The common options.
 * @param command - The command.
 */
export async function runCommand(
  flags: CtlFlags,
  command: (context: CtlContext) => Promise<CtlAnswer> | CtlAnswer,
): Promise<void> {
  const answer = await getAnswer(flags, command);
  writeAnswer(answer, flags);
  // Kept connections to the log would hold the process until they time out.
  process.stdout.write("", () => process.exit());
}

async function getAnswer(
  flags: CtlFlags,
  command: (context: CtlContext) => Promise<CtlAnswer> | CtlAnswer,
): Promise<CtlAnswer> {
  const context = createCtlContext(flags);
  if (context.isErr()) {
    return createFailure(context.error);
  }
  const address = flags.process ?? "";
  const read = address === ""
    ? await readView(context.value)
    : await readViewFromProcess(context.value, address);
  if (read.isErr()) {
    return createFailure(read.error);
  }
  try {
    return await command(context.value);
  } catch (error) {
    return createFailure(createError("internal", (error as Error).message));
  }
}
