import type { CtlAnswer } from "./ctl_answer.ts";
import type { CtlContext } from "./ctl_context.ts";
import { publishEdits } from "./publish_edits.ts";
import type { PublishFlags } from "./publish_flags.ts";
import { readSettings } from "./read_settings.ts";

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
): Promise<CtlAnswer> {
  const current = readSettings(context, { path, resolved: "" });
  return current.exitCode !== 0 && flags["change-id"] === ""
    ? current
    : await publishEdits(context, [{ path, value: null }], flags);
}
