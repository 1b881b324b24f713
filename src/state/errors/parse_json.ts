import { err, ok, type Result } from "neverthrow";
import type * as z from "zod";
import { isNestedWithin } from "../json/mod.ts";
import { createError } from "./create_error.ts";
import { createSchemaError } from "./create_schema_error.ts";
import type { DispatchError } from "./dispatch_error.ts";
import type { ErrorKind } from "./error_kind.ts";

/**
 * Parses JSON and checks it against a schema.
 * @param schema - Schema that the value must match.
 * @param text - JSON as text or as UTF-8 bytes.
 * @param kind - Kind of the error when the text isn't JSON or doesn't match the
 * schema.
 */
export function parseJson<T>(
  schema: z.ZodType<T>,
  text: string | Buffer,
  kind: ErrorKind,
): Result<T, DispatchError> {
  let value: unknown;
  try {
    value = JSON.parse(text.toString());
  } catch (error) {
    return err(createError(kind, (error as Error).message));
  }
  if (!isNestedWithin(value)) {
    return err(createError(kind, "the value is nested too deeply"));
  }
  const parsed = schema.safeParse(value);
  return parsed.success
    ? ok(parsed.data)
    : err(createSchemaError(kind, parsed.error));
}
