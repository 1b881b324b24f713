import type { ClusterView } from "../../state/view/mod.ts";
import type { KnownClaim } from "../messages/mod.ts";

/**
 * Selects one claim for each key from the claims that the members reported. A
 * claim with a stored answer has the highest priority. Whether a submission
 * still runs is decided by its live coordinator: a running claim that other
 * members report, but the coordinator itself doesn't, was released.
 * @param known - Reported claims by id of the member that reported them.
 * @param view - View that tells which coordinators are live.
 */
export function selectClaims(
  known: ReadonlyMap<string, readonly KnownClaim[]>,
  view: ClusterView,
): KnownClaim[] {
  const best = new Map<string, { claim: KnownClaim; priority: number }>();
  for (const [memberId, claims] of known) {
    for (const claim of claims) {
      const isReleased = claim.state === "running" &&
        claim.coordinator !== memberId && known.has(claim.coordinator) &&
        view.getMember(claim.coordinator) !== undefined;
      const priority = isReleased ? 0 : getPriority(claim);
      if (priority > (best.get(claim.key)?.priority ?? 0)) {
        best.set(claim.key, { claim, priority });
      }
    }
  }
  return [...best.values()].map(({ claim }) => claim);
}

function getPriority(claim: KnownClaim): number {
  if (claim.fromStartRecord) {
    return 1;
  }
  return claim.state === "done" ? (claim.answer === undefined ? 3 : 4) : 2;
}
