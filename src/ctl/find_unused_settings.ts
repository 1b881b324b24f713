import type { ConfigFinding } from "../state/config_check/mod.ts";
import type { SettingsTree } from "../state/settings/mod.ts";
import type { Member } from "../state/view/mod.ts";

/** Finds settings of services, zones and upstreams that no live member has. */
export function findUnusedSettings(
  settings: SettingsTree,
  members: readonly Member[],
): ConfigFinding[] {
  const agents = members.filter(({ role }) => role === "agent");
  const used = {
    services: new Set(agents.flatMap(({ services }) => services)),
    zones: new Set(members.map(({ zone }) => zone)),
    upstreams: new Set(agents.map(({ name }) => name)),
  };
  return (["services", "zones", "upstreams"] as const).flatMap((kind) =>
    Object.keys(settings[kind] ?? {}).filter((name) => !used[kind].has(name))
      .map((name) => ({
        ...{ severity: "warning" as const, path: [kind, name] },
        message: "no live member has this name",
      }))
  );
}
