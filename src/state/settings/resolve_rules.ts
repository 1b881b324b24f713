import type { ResolvedRules } from "./resolved_rules.ts";
import { resolveRuleSources } from "./resolve_rule_sources.ts";
import type { SettingsTree } from "./settings_tree.ts";

/**
 * Resolves the rules of a job by inheritance: job, then service, then root,
 * then the built-in defaults.
 * @param tree - The operators' settings.
 * @param service - Name of the service.
 * @param options - Name of the job below the service, when it has one.
 */
export function resolveRules(
  tree: SettingsTree,
  service: string,
  options: { job?: string } = {},
): ResolvedRules {
  const sources = resolveRuleSources(tree, service, options);
  const rules = Object.entries(sources).map(([name, { value }]) => [
    name,
    value,
  ]);
  return Object.fromEntries(rules) as ResolvedRules;
}
