import type { CommandResult } from "./command_result.ts";
import type { CtlContext } from "./ctl_context.ts";
import { publishEdits } from "./publish_edits.ts";
import type { PublishFlags } from "./publish_flags.ts";
import { getSettings } from "./get_settings.ts";

/**
 * Removes the node at a path, so that it is inherited or gone.
 * @param context - The command.
 * @param path - Dotted path.
 * @param flags - The options.
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
