import { err, ok, type Result } from "neverthrow";
import type { z } from "zod";
import {
  createError,
  createSchemaError,
  type DispatchError,
} from "../state/errors/mod.ts";

/** Parses the JSON body of a request and checks it against a schema. */
export function parseJsonBody<T>(
  schema: z.ZodType<T>,
  body: Buffer,
): Result<T, DispatchError> {
  let value: unknown;
  try {
    value = JSON.parse(body.toString("utf8"));
  } catch (error) {
    return err(createError("invalid_request", (error as Error).message));
  }
  const parsed = schema.safeParse(value);
  return parsed.success
    ? ok(parsed.data)
    : err(createSchemaError("invalid_request", parsed.error));
}
