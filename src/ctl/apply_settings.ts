import { readFileSync } from "node:fs";
import * as z from "zod";
import { createError } from "../state/errors/mod.ts";
import { createErrorResult } from "./create_error_result.ts";
import type { CommandResult } from "./command_result.ts";
import type { CtlContext } from "./ctl_context.ts";
import { publishEdits } from "./publish_edits.ts";
import type { PublishFlags } from "./publish_flags.ts";

const EditsFile = z.strictObject({
  edits: z.array(z.strictObject({ path: z.string().min(1), value: z.json() }))
    .min(1).max(1000),
});

/**
 * Publishes the edits of a file as one change: either all of them take effect
 * or none does.
 * @param context - Context of the command.
 * @param path - Path of a file `{"edits": [{"path", "value"}]}`; a null value
 * removes the node at that path.
 * @param flags - Options of the command.
 */
export async function applySettings(
  context: CtlContext,
  path: string,
  flags: PublishFlags,
): Promise<CommandResult> {
  let edits: z.infer<typeof EditsFile>["edits"];
  try {
    edits = EditsFile.parse(JSON.parse(readFileSync(path, "utf8"))).edits;
  } catch (error) {
    const issue = error instanceof z.ZodError ? error.issues[0] : undefined;
    const reason = issue === undefined
      ? (error as Error).message
      : `${issue.path.join(".")}: ${issue.message}`;
    return createErrorResult(
      createError("invalid_settings", `${path}: ${reason}`, { path }),
    );
  }
  return await publishEdits(context, edits, flags);
}
