import type { ConfigDescription } from "./config_description.ts";
import type { ConfigFinding } from "./config_finding.ts";
import { findHiddenRoutes } from "./find_hidden_routes.ts";
import { findLimitConflicts } from "./find_limit_conflicts.ts";
import { findServiceProblems } from "./find_service_problems.ts";

/** Checks a configuration that is well-formed. */
export function checkConfigDescription(
  description: ConfigDescription,
): ConfigFinding[] {
  return [
    ...findHiddenRoutes(description.routes),
    ...findServiceProblems(description),
    ...findLimitConflicts(description),
  ];
}
