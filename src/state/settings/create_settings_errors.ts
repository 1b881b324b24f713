import * as z from "zod";
import { createError, type DispatchError } from "../errors/mod.ts";
import { findNearestName } from "./find_nearest_name.ts";

/** Units of settings, by the suffix of the setting's name. */
const UNITS_BY_SUFFIX: readonly (readonly [string, string])[] = [
  ["Ms", "milliseconds"],
  ["Bytes", "bytes"],
];

/**
 * Creates the errors for a settings tree that doesn't match its schema. They name the
 * paths, and suggest what the operator probably meant.
 * @param error - Error of the schema library.
 * @param schema - The schema.
 * @param options - The checked value.
 */
export function createSettingsErrors(
  error: z.ZodError,
  schema: z.ZodType,
  options: { value: unknown },
): DispatchError[] {
  return error.issues.flatMap((issue) => {
    if (issue.code === "unrecognized_keys") {
      return issue.keys.map((key) =>
        createUnknownKeyError(schema, issue.path, key)
      );
    }
    const path = issue.path.map(String).join(".");
    const message = `"${path}": ${issue.message}${
      formatUnitHint(issue.path, options.value)
    }`;
    return [createError("invalid_settings", message, { path })];
  });
}

function createUnknownKeyError(
  schema: z.ZodType,
  parent: readonly PropertyKey[],
  key: string,
): DispatchError {
  const path = [...parent.map(String), key].join(".");
  const nearest = findNearestName(key, findKnownKeys(schema, parent));
  const unit = nearest === undefined ? undefined : findUnit(nearest);
  const hint = nearest === undefined
    ? ""
    : `; the nearest known setting is "${
      [...parent.map(String), nearest].join(".")
    }"${unit === undefined ? "" : ` (in ${unit})`}`;
  const message = `"${path}" is not a known setting${hint}`;
  return createError("invalid_settings", message, { path });
}

/**
 * Formats a hint that names the expected unit, for a value in another form such
 * as `"5s"`. Returns an empty text where the setting has no unit.
 */
function formatUnitHint(path: readonly PropertyKey[], value: unknown): string {
  const unit = findUnit(String(path[path.length - 1] ?? ""));
  let given = value;
  for (const name of path) {
    given = (given as Record<PropertyKey, unknown> | undefined)?.[name];
  }
  return unit === undefined || given === undefined
    ? ""
    : `; give a whole number of ${unit}, not ${JSON.stringify(given)}`;
}

function findUnit(name: string): string | undefined {
  return UNITS_BY_SUFFIX.find(([suffix]) => name.endsWith(suffix))?.[1];
}

function findKnownKeys(
  schema: z.ZodType,
  path: readonly PropertyKey[],
): string[] {
  let node: unknown = schema;
  for (const name of path) {
    const inner = getInner(node);
    node = inner instanceof z.ZodObject
      ? inner.shape[String(name)]
      : inner instanceof z.ZodRecord
      ? inner.valueType
      : undefined;
  }
  const inner = getInner(node);
  return inner instanceof z.ZodObject ? Object.keys(inner.shape) : [];
}

function getInner(schema: unknown): unknown {
  return schema instanceof z.ZodOptional ? schema.unwrap() : schema;
}
