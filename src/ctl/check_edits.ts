import {
  type ConfigFinding,
  findConfigDifferences,
} from "../state/config_check/mod.ts";
import { isNestedWithin } from "../state/json/mod.ts";
import { checkWholeSettings } from "../state/settings/mod.ts";
import { applyEdits, type ChangeRecord } from "../state/view/mod.ts";
import type { CommandResult } from "./command_result.ts";
import { createCheckResult } from "./create_check_result.ts";
import type { CtlContext } from "./ctl_context.ts";
import { findUnusedSettings } from "./find_unused_settings.ts";

/**
 * Checks what the settings in force would be after some edits. Nothing is published.
 * @param context - Context of the command.
 * @param edits - Edits of the settings.
 * @param options - Whether warnings fail the check.
 */
export function checkEdits(
  context: CtlContext,
  edits: ChangeRecord["edits"],
  options: { strict: boolean },
): CommandResult {
  const { view } = context.follower;
  if (!isNestedWithin(edits)) {
    const findings = [createFinding([], "a value is nested too deeply")];
    return createCheckResult({ findings, differences: undefined, ...options });
  }
  const edited = applyEdits(view.settings, edits);
  const members = [...view.getMembers("entry"), ...view.getMembers("agent")];
  const findings = checkWholeSettings(edited).match(
    (settings) => findUnusedSettings(settings, members),
    (errors) =>
      errors.map(({ path = "", message }) =>
        createFinding(path.split("."), message)
      ),
  );
  const differences = findConfigDifferences(view.settings, edited);
  return createCheckResult({ findings, differences, ...options });
}

function createFinding(
  path: readonly string[],
  message: string,
): ConfigFinding {
  return { severity: "error", path, message };
}
