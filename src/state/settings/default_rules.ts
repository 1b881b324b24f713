import type { ResolvedRules } from "./resolved_rules.ts";

/** The rules of the tree's root where operators state none. */
export const DEFAULT_RULES: ResolvedRules = {
  timeoutMs: 10_000,
  deadlineMs: 30_000,
  maxBodyBytes: 1_048_576,
  maxTasks: 150,
  maxAttempts: 3,
  hedging: false,
  priority: 5,
};
