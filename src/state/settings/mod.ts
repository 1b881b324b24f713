export { DEFAULT_RULES } from "./default_rules.ts";
export { resolveRules } from "./resolve_rules.ts";
export type { ResolvedRules } from "./resolved_rules.ts";
export { Rules } from "./rules.ts";
export { SettingsTree } from "./settings_tree.ts";
