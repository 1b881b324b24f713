import type { PlacementPolicy } from "./placement_policy.ts";

/**
 * Agents that are compared for one task. The best of 32 is among the best tenth
 * of 352 agents in 97 of 100 cases, and the cost of a placement doesn't grow
 * with the cluster.
 */
const COMPARED = 32;

/**
 * The learned times of equal workers scatter by this much. Without it the one
 * that chanced to be fastest would get all tasks at low load, and what is known
 * of the others would go stale.
 */
const EQUAL_FACTOR = 1.2;

/**
 * Learned run times of equal workers differ by a few ten percent while a
 * service's tasks differ in size, so a smaller factor would hold tasks back for
 * no gain.
 */
const SLOW_FACTOR = 1.5;

/** Creates the placement that the settings name. */
export function createPlacementPolicy(
  type: PlacementPolicy["type"] = "credits",
): PlacementPolicy {
  switch (type) {
    case "credits":
      return {
        type,
        maxCandidates: COMPARED,
        equalFactor: EQUAL_FACTOR,
        slowFactor: SLOW_FACTOR,
      };
    case "least_loaded":
      return { type, maxCandidates: COMPARED };
    case "random":
      return { type };
    default:
      return type satisfies never;
  }
}
