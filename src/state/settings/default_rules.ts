import type { ResolvedRules } from "./resolved_rules.ts";

/** The built-in rules, which apply where operators state none. */
export const DEFAULT_RULES: ResolvedRules = {
  timeoutMs: 10_000,
  deadlineMs: 30_000,
  maxBodyBytes: 1_048_576,
  maxTasks: 150,
  maxAttempts: 3,
  hedging: false,
  priority: 5,
};
