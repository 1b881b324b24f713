import type { Quotas } from "./quotas.ts";
import type { SettingsTree } from "./settings_tree.ts";

/**
 * Resolves the quotas of a customer or a team. A team inherits from its
 * customer what it doesn't state.
 * @param tree - The operators' settings.
 * @param customer - Name of the customer.
 * @param options - Name of the team, when the submission names one.
 */
export function resolveQuotas(
  tree: SettingsTree,
  customer: string,
  options: { team?: string | undefined } = {},
): Quotas {
  const node = tree.customers?.[customer];
  const team = options.team === undefined
    ? undefined
    : node?.teams?.[options.team];
  const maxRunning = team?.maxRunning ?? node?.maxRunning;
  const maxQueued = team?.maxQueued ?? node?.maxQueued;
  return {
    weight: team?.weight ?? node?.weight ?? 1,
    ...(maxRunning === undefined ? {} : { maxRunning }),
    ...(maxQueued === undefined ? {} : { maxQueued }),
  };
}
