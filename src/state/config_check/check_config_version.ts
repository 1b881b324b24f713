import type { ConfigFinding } from "./config_finding.ts";

/** Checks that a version replaces the one in force, since older ones are ignored. */
export function checkConfigVersion(
  version: number,
  versionInForce: number,
): ConfigFinding[] {
  if (version > versionInForce) {
    return [];
  }
  const message =
    `${version} is not above version ${versionInForce} in force, so it would be ignored`;
  return [{ severity: "error", path: ["version"], message }];
}
