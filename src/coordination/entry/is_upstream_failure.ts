import type { DispatchResult } from "../messages/mod.ts";

/**
 * Error kinds that are caused by the upstream, and not by the agent's state or
 * the caller.
 */
const UPSTREAM_FAILURE_KINDS: ReadonlySet<string> = new Set([
  "upstream_unreachable",
  "upstream_reset",
  "corrupt_answer",
  "timeout",
]);

/** Returns whether the upstream that ran the task caused a failure. */
export function isUpstreamFailure(result: DispatchResult): boolean {
  return result.errorKind === ""
    ? result.status >= 500
    : UPSTREAM_FAILURE_KINDS.has(result.errorKind);
}
