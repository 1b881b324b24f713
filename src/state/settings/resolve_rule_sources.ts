import { DEFAULT_RULES } from "./default_rules.ts";
import type { ResolvedRules } from "./resolved_rules.ts";
import type { Rules } from "./rules.ts";
import type { RuleSource } from "./rule_source.ts";
import type { SettingsTree } from "./settings_tree.ts";

/**
 * Resolves the rules of a node by inheritance (job, then service, then root,
 * then the built-in defaults), with the node that states each. A built-in
 * timeout never exceeds the deadline that operators state, so that shortening
 * only the deadline is a valid change.
 * @param tree - The operators' settings.
 * @param service - Name of the service; undefined for the root.
 * @param options - Name of the job below the service, when it has one.
 */
export function resolveRuleSources(
  tree: SettingsTree,
  service?: string,
  options: { job?: string } = {},
): Record<keyof ResolvedRules, RuleSource> {
  const sources: Record<string, RuleSource> = {};
  for (const [from, rules] of getNodes(tree, service, options)) {
    for (const [name, value] of Object.entries(rules ?? {})) {
      sources[name] = { value, from };
    }
  }
  const resolved = sources as Record<keyof ResolvedRules, RuleSource>;
  if (resolved.timeoutMs.from === "built-in") {
    const value = Math.min(
      Number(resolved.timeoutMs.value),
      Number(resolved.deadlineMs.value),
    );
    resolved.timeoutMs = { value, from: "built-in" };
  }
  return resolved;
}

function getNodes(
  tree: SettingsTree,
  service: string | undefined,
  options: { job?: string },
): [string, Rules | undefined][] {
  const nodes: [string, Rules | undefined][] = [
    ["built-in", DEFAULT_RULES],
    ["rules", tree.rules],
  ];
  if (service !== undefined) {
    const node = tree.services?.[service];
    nodes.push([`services.${service}.rules`, node?.rules]);
    if (options.job !== undefined) {
      const path = `services.${service}.jobs.${options.job}.rules`;
      nodes.push([path, node?.jobs?.[options.job]?.rules]);
    }
  }
  return nodes;
}
