import type * as z from "zod";
import { createError } from "./create_error.ts";
import type { DispatchError } from "./dispatch_error.ts";
import type { ErrorKind } from "./error_kind.ts";

/**
 * Creates an error from the first issue of a failed schema check, with the path
 * of the bad value.
 * @param kind - Kind of the created error.
 * @param error - Error of the schema library.
 */
export function createSchemaError(
  kind: ErrorKind,
  error: z.ZodError,
): DispatchError {
  const issue = error.issues[0];
  if (issue === undefined) {
    return createError(kind, "the value doesn't match its schema");
  }
  const path = issue.path.map(String).join(".");
  const where = path === "" ? "the value" : `"${path}"`;
  return createError(kind, `${where}: ${issue.message}`, { path });
}
