import type { ConfigFinding } from "./config_finding.ts";

/**
 * Gets the exit code of a check: 2 if there are errors, 1 if there are warnings and
 * `strict` is set, and 0 otherwise.
 */
export function getCheckExitCode(
  findings: readonly ConfigFinding[],
  { strict }: { strict: boolean },
): number {
  if (findings.some(({ severity }) => severity === "error")) {
    return 2;
  }
  return strict && findings.length > 0 ? 1 : 0;
}
