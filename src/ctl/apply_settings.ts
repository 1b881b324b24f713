import { createErrorResult } from "./create_error_result.ts";
import type { CommandResult } from "./command_result.ts";
import type { CtlContext } from "./ctl_context.ts";
import { publishEdits } from "./publish_edits.ts";
import type { PublishFlags } from "./publish_flags.ts";
import { readEditsFile } from "./read_edits_file.ts";

/**
 * Publishes the edits of a file as one change: either all of them take effect
 * or none does.
 * @param context - Context of the command.
 * @param path - Path of the file.
 * @param flags - Options of the command.
 */
export async function applySettings(
  context: CtlContext,
  path: string,
  flags: PublishFlags,
): Promise<CommandResult> {
  const edits = readEditsFile(path);
  return edits.isErr()
    ? createErrorResult(edits.error)
    : await publishEdits(context, edits.value, flags);
}
