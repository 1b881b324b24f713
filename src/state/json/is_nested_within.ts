/**
 * Levels of nesting that are accepted from other writers by default, far more
 * than any record or request has.
 */
const MAX_LEVELS = 64;

/**
 * Returns whether a JSON value has at most the given number of levels. Parsing
 * accepts any number of them, but code that walks through the value recursively
 * overflows the stack at some thousands.
 */
export function isNestedWithin(
  value: unknown,
  maxLevels: number = MAX_LEVELS,
): boolean {
  if (typeof value !== "object" || value === null) {
    return true;
  }
  return maxLevels > 0 &&
    Object.values(value).every((child) => isNestedWithin(child, maxLevels - 1));
}
