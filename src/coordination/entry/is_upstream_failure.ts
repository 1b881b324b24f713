import type { DispatchResult } from "../messages/mod.ts";

/**
 * Error kinds that speak against the upstream and not against the agent's state
 * or the caller.
 */
const FAILURES: ReadonlySet<string> = new Set([
  "upstream_unreachable",
  "upstream_reset",
  "corrupt_answer",
  "timeout",
]);

/** Does a result speak against the upstream that ran the task? */
export function isUpstreamFailure(result: DispatchResult): boolean {
  return result.errorKind === ""
    ? result.status >= 500
    : FAILURES.has(result.errorKind);
}
