import type { LogLine } from "../log_line.ts";
import type { ClaimState } from "./claim_state.ts";

/**
 * Gets the state of a claim from the latest line about it.
 * @param lines - The lines about the claim, in the order of their times.
 */
export function getClaimState(lines: readonly LogLine[]): ClaimState {
  for (const { event } of lines.toReversed()) {
    switch (event) {
      case "job_claim_waited":
        return "granted";
      case "job_claim_held":
        return "held";
      case "job_superseded":
        return "superseded";
      default:
        // A job may be held for other reasons than its claim.
    }
  }
  return "not_logged";
}
