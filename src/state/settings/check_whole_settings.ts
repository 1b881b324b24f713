import { err, ok, type Result } from "neverthrow";
import type { DispatchError } from "../errors/mod.ts";
import { createSettingsErrors } from "./create_settings_errors.ts";
import { findContradictions } from "./find_contradictions.ts";
import { SettingsTree } from "./settings_tree.ts";

/**
 * Checks a whole settings tree, and returns all of its errors. Every process runs this
 * check on the same tree when it applies a change, and all must reach the same result,
 * so the check depends on nothing but the tree.
 */
export function checkWholeSettings(
  value: unknown,
): Result<SettingsTree, DispatchError[]> {
  const parsed = SettingsTree.safeParse(value);
  if (!parsed.success) {
    return err(createSettingsErrors(parsed.error, SettingsTree, { value }));
  }
  const contradictions = findContradictions(parsed.data);
  return contradictions.length === 0 ? ok(parsed.data) : err(contradictions);
}
