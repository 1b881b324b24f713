import { readFileSync } from "node:fs";
import { err, ok, type Result } from "neverthrow";
import * as z from "zod";
import { createError, type DispatchError } from "../state/errors/mod.ts";
import type { ChangeRecord } from "../state/view/mod.ts";

const EditsFile = z.strictObject({
  edits: z.array(z.strictObject({ path: z.string().min(1), value: z.json() }))
    .min(1).max(1000),
});

/**
 * Reads a file of edits, `{"edits": [{"path", "value"}]}`; a null value removes the
 * node at that path.
 */
export function readEditsFile(
  path: string,
): Result<ChangeRecord["edits"], DispatchError> {
  try {
    return ok(EditsFile.parse(JSON.parse(readFileSync(path, "utf8"))).edits);
  } catch (error) {
    const issue = error instanceof z.ZodError ? error.issues[0] : undefined;
    const reason = issue === undefined
      ? (error as Error).message
      : `${issue.path.join(".")}: ${issue.message}`;
    return err(
      createError("invalid_settings", `${path}: ${reason}`, { path }),
    );
  }
}
