import type { ClusterView } from "../../state/view/mod.ts";
import type { KnownClaim } from "../messages/mod.ts";

/**
 * Selects one claim for each key from the claims that all members know, by the
 * id of the member. A stored answer counts most. A live coordinator knows best
 * whether it still runs a submission: a running claim that only a former home
 * knows was released since then.
 */
export function selectClaims(
  known: ReadonlyMap<string, readonly KnownClaim[]>,
  view: ClusterView,
): KnownClaim[] {
  const best = new Map<string, { claim: KnownClaim; weight: number }>();
  for (const [memberId, claims] of known) {
    for (const claim of claims) {
      const isReleased = claim.state === "running" &&
        claim.coordinator !== memberId && known.has(claim.coordinator) &&
        view.getMember(claim.coordinator) !== undefined;
      const weight = isReleased ? 0 : getWeight(claim);
      if (weight > (best.get(claim.key)?.weight ?? 0)) {
        best.set(claim.key, { claim, weight });
      }
    }
  }
  return [...best.values()].map(({ claim }) => claim);
}

function getWeight(claim: KnownClaim): number {
  if (claim.fromStartRecord) {
    return 1;
  }
  return claim.state === "done" ? (claim.answer === undefined ? 3 : 4) : 2;
}
