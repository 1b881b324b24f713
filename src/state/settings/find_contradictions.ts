import { createError, type DispatchError } from "../errors/mod.ts";
import { resolveRuleSources } from "./resolve_rule_sources.ts";
import type { SettingsTree } from "./settings_tree.ts";

const QUOTA_NAMES = ["maxRunning", "maxQueued"] as const;

/**
 * Finds the rules of a well-formed tree that can never be met, such as a timeout
 * above the deadline that is in force at the same node after inheritance.
 */
export function findContradictions(tree: SettingsTree): DispatchError[] {
  const errors = [findRuleContradiction(tree, "rules")];
  for (const [service, node] of Object.entries(tree.services ?? {})) {
    const path = `services.${service}`;
    errors.push(findRuleContradiction(tree, `${path}.rules`, { service }));
    for (const job of Object.keys(node.jobs ?? {})) {
      const jobPath = `${path}.jobs.${job}.rules`;
      errors.push(findRuleContradiction(tree, jobPath, { service, job }));
    }
  }
  return [
    ...errors.filter((error) => error !== undefined),
    ...findQuotaContradictions(tree),
  ];
}

function findRuleContradiction(
  tree: SettingsTree,
  path: string,
  options: { service?: string; job?: string } = {},
): DispatchError | undefined {
  const { service, ...job } = options;
  const { timeoutMs, deadlineMs, hedging, maxAttempts } = resolveRuleSources(
    tree,
    service,
    job,
  );
  if (timeoutMs.value > deadlineMs.value) {
    return createError(
      "invalid_settings",
      `"${path}": timeoutMs ${timeoutMs.value} (from ${timeoutMs.from}) is above deadlineMs ` +
        `${deadlineMs.value} (from ${deadlineMs.from})`,
      { path: `${path}.timeoutMs` },
    );
  }
  if (hedging.value === true && Number(maxAttempts.value) < 2) {
    return createError(
      "invalid_settings",
      `"${path}": hedging (from ${hedging.from}) needs a second attempt, but maxAttempts is ` +
        `${maxAttempts.value} (from ${maxAttempts.from})`,
      { path: `${path}.hedging` },
    );
  }
  return undefined;
}

function findQuotaContradictions(tree: SettingsTree): DispatchError[] {
  const errors: DispatchError[] = [];
  for (const [customer, node] of Object.entries(tree.customers ?? {})) {
    for (const [team, quotas] of Object.entries(node.teams ?? {})) {
      for (const name of QUOTA_NAMES) {
        const limit = node[name];
        const value = quotas[name];
        if (limit !== undefined && value !== undefined && value > limit) {
          const path = `customers.${customer}.teams.${team}.${name}`;
          const message =
            `"${path}": ${value} is above the customer's ${name} of ${limit}`;
          errors.push(createError("invalid_settings", message, { path }));
        }
      }
    }
  }
  return errors;
}
