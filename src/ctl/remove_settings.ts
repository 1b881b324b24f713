import type { CommandResult } from "./command_result.ts";
import type { CtlContext } from "./ctl_context.ts";
import { publishEdits } from "./publish_edits.ts";
import type { PublishFlags } from "./publish_flags.ts";
import { getSettings } from "./get_settings.ts";

/**
 * Removes the settings at a path, so that inherited values apply, if any.
 * @param context - Context of the command.
 * @param path - Dotted path of the settings.
 * @param flags - Options of the command.
 */
export async function removeSettings(
  context: CtlContext,
  path: string,
  flags: PublishFlags,
): Promise<CommandResult> {
  const current = getSettings(context, { path, resolved: "" });
  return current.exitCode !== 0 && flags["change-id"] === ""
    ? current
    : await publishEdits(context, [{ path, value: null }], flags);
}
