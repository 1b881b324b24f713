import { DEFAULT_RULES } from "./default_rules.ts";
import type { ResolvedRules } from "./resolved_rules.ts";
import type { SettingsTree } from "./settings_tree.ts";

/**
 * Resolves the rules of a job by inheritance: job, then service, then root, then the built-in defaults.
 * @param tree - The operators' settings.
 * @param service - Name of the service.
 * @param options - Name of the job below the service, when it has one.
 */
export function resolveRules(
  tree: SettingsTree,
  service: string,
  options: { job?: string } = {},
): ResolvedRules {
  const node = tree.services?.[service];
  const job = options.job === undefined ? undefined : node?.jobs?.[options.job];
  return { ...DEFAULT_RULES, ...tree.rules, ...node?.rules, ...job?.rules };
}
