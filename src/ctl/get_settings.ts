import { createError } from "../state/errors/mod.ts";
import { resolveRuleSources } from "../state/settings/mod.ts";
import { createErrorResult } from "./create_error_result.ts";
import type { CommandResult } from "./command_result.ts";
import type { CtlContext } from "./ctl_context.ts";

/**
 * Gets the settings at a path, or the rules of a service or job after
 * inheritance is resolved.
 * @param context - Context of the command.
 * @param options - Dotted path of the settings (all settings without it), and
 * `service` or `service/job` whose rules are resolved; empty for none.
 */
export function getSettings(
  context: CtlContext,
  options: { path?: string; resolved: string },
): CommandResult {
  const { view } = context.follower;
  const { path, resolved } = options;
  if (resolved !== "") {
    return getResolvedRules(context, resolved);
  }
  let node: unknown = view.settings;
  for (const name of path === undefined ? [] : path.split(".")) {
    node = typeof node === "object" && node !== null &&
        Object.hasOwn(node, name)
      ? (node as Record<string, unknown>)[name]
      : undefined;
  }
  if (node === undefined) {
    return createErrorResult(
      createError("not_found", `nothing is set at "${path}"`, { path: path! }),
    );
  }
  return {
    exitCode: 0,
    text: JSON.stringify(node, undefined, 2),
    value: { status: "ok", revision: view.revision, value: node },
  };
}

function getResolvedRules(context: CtlContext, name: string): CommandResult {
  const { view } = context.follower;
  const [service = "", job] = name.split("/");
  const node = view.settings.services?.[service];
  if (
    node === undefined || (job !== undefined && node.jobs?.[job] === undefined)
  ) {
    return createErrorResult(
      createError("not_found", `the settings have no "${name}"`),
    );
  }
  const options = job === undefined ? {} : { job };
  const rules = resolveRuleSources(view.settings, service, options);
  const lines = Object.entries(rules).map(([rule, { value, from }]) =>
    `${rule.padEnd(14)}${String(value).padEnd(10)}${from}`
  );
  return {
    exitCode: 0,
    text: lines.join("\n"),
    value: { status: "ok", revision: view.revision, rules },
  };
}
