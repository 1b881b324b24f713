import { createError } from "../state/errors/mod.ts";
import type { ChangeRecord } from "../state/view/mod.ts";
import { createErrorResult } from "./create_error_result.ts";
import type { CommandResult } from "./command_result.ts";
import type { CtlContext } from "./ctl_context.ts";
import { publishEdits } from "./publish_edits.ts";
import type { PublishFlags } from "./publish_flags.ts";

/**
 * Sets the settings at a path.
 * @param context - Context of the command.
 * @param edit - Dotted path of the settings, and their value as JSON text.
 * @param flags - Options of the command.
 */
export async function setSettings(
  context: CtlContext,
  edit: { path: string; json: string },
  flags: PublishFlags,
): Promise<CommandResult> {
  let value: ChangeRecord["edits"][number]["value"];
  try {
    value = JSON.parse(edit.json);
  } catch (error) {
    const message = `"${edit.path}": not JSON: ${(error as Error).message}`;
    return createErrorResult(
      createError("invalid_settings", message, { path: edit.path }),
    );
  }
  if (value === null) {
    const message = `"${edit.path}": use "settings remove" to remove a node`;
    return createErrorResult(
      createError("invalid_settings", message, { path: edit.path }),
    );
  }
  return await publishEdits(context, [{ path: edit.path, value }], flags);
}
