export { checkConfigDescription } from "./check_config_description.ts";
export { checkConfigVersion } from "./check_config_version.ts";
export type { ConfigDescription } from "./config_description.ts";
export type { ConfigDifference } from "./config_difference.ts";
export type { ConfigFinding } from "./config_finding.ts";
export { findConfigDifferences } from "./find_config_differences.ts";
export { getCheckExitCode } from "./get_check_exit_code.ts";
