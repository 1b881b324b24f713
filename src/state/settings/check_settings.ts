import type { Result } from "neverthrow";
import type { DispatchError } from "../errors/mod.ts";
import { checkWholeSettings } from "./check_whole_settings.ts";
import type { SettingsTree } from "./settings_tree.ts";

/** Checks a settings tree, and returns its first error. */
export function checkSettings(
  value: unknown,
): Result<SettingsTree, DispatchError> {
  return checkWholeSettings(value).mapErr(([first]) => first as DispatchError);
}
