import { err, ok, type Result } from "neverthrow";
import type { DispatchError } from "../errors/mod.ts";
import { createSettingsError } from "./create_settings_error.ts";
import { findContradiction } from "./find_contradiction.ts";
import { SettingsTree } from "./settings_tree.ts";

/**
 * Checks a whole settings tree. Every process runs this check on the same tree
 * when it applies a change, and all must reach the same result, so the check
 * depends on nothing but the tree.
 */
export function checkSettings(
  value: unknown,
): Result<SettingsTree, DispatchError> {
  const parsed = SettingsTree.safeParse(value);
  if (!parsed.success) {
    return err(createSettingsError(parsed.error, SettingsTree, { value }));
  }
  const contradiction = findContradiction(parsed.data);
  return contradiction === undefined ? ok(parsed.data) : err(contradiction);
}
