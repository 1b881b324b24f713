import {
  type ConfigDifference,
  type ConfigFinding,
  getCheckExitCode,
} from "../state/config_check/mod.ts";
import type { CommandResult } from "./command_result.ts";
import { formatTable } from "./format_table.ts";

export interface CheckResultOptions {
  findings: readonly ConfigFinding[];
  /** Differences from the version in force; undefined if none was compared. */
  differences: readonly ConfigDifference[] | undefined;
  /** Whether warnings fail the check. */
  strict: boolean;
}

/** Creates the result of the check of a configuration. */
export function createCheckResult(
  { findings, differences, strict }: CheckResultOptions,
): CommandResult {
  const exitCode = getCheckExitCode(findings, { strict });
  const rows = findings.map(({ severity, path, message }) => ({
    ...{ severity, path: path.join(".") || "-", message },
  }));
  const changes = differences?.map(({ path, former, next }) => ({
    path,
    former: formatValue(former),
    next: formatValue(next),
  }));
  const changesText = changes === undefined
    ? "not compared with a version in force"
    : changes.length === 0
    ? "no difference from the version in force"
    : formatTable(changes);
  return {
    exitCode,
    text: [
      rows.length === 0 ? "no findings" : formatTable(rows),
      changesText,
    ].join("\n\n"),
    value: {
      status: exitCode === 0 ? "ok" : "findings",
      findings: rows,
      differences,
    },
  };
}

function formatValue(value: unknown): string | undefined {
  return value === undefined ? undefined : JSON.stringify(value);
}
