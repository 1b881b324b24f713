import type { ConfigDifference } from "./config_difference.ts";

/**
 * Finds the values that differ between two JSON values. Items of a list are compared by
 * their names if they all have different ones, so that a moved item is no difference.
 */
export function findConfigDifferences(
  former: unknown,
  next: unknown,
  path = "",
): ConfigDifference[] {
  const formerFields = getFields(former);
  const nextFields = getFields(next);
  if (formerFields === undefined || nextFields === undefined) {
    return JSON.stringify(former) === JSON.stringify(next)
      ? []
      : [{ path, former, next }];
  }
  const names = new Set([...formerFields.keys(), ...nextFields.keys()]);
  return [...names].flatMap((name) =>
    findConfigDifferences(
      formerFields.get(name),
      nextFields.get(name),
      path === "" ? name : `${path}.${name}`,
    )
  );
}

/** Gets the fields of an object, or the items of a list of named objects by name. */
function getFields(value: unknown): Map<string, unknown> | undefined {
  if (typeof value !== "object" || value === null) {
    return undefined;
  }
  if (!Array.isArray(value)) {
    return new Map(Object.entries(value));
  }
  const items = value.map((item): [unknown, unknown] => [item?.name, item]);
  const fields = new Map(items);
  return fields.size === items.length &&
      items.every(([name]) => typeof name === "string")
    ? fields as Map<string, unknown>
    : undefined;
}
