import {
  type PlacedTask,
  placeGroup,
  type PlaceGroupOptions,
  placeTasks,
} from "../../src/state/batch/mod.ts";
import type { PlacePolicy } from "./simulate_rack_load.ts";

/** Slowdown for which no group is spread while a rack could hold it. */
const NEVER_SPREAD_FACTOR = 1e6;

/**
 * Places tasks that share a rack: `fixed` as before the decision, `never` spreads them
 * unless some rack has room for all at once, `always` waits for the best rack.
 */
export function placeGroupByPolicy(
  policy: PlacePolicy,
  options: PlaceGroupOptions,
): PlacedTask[] {
  const placeOnOneRack = () =>
    placeGroup({ ...options, farFactor: NEVER_SPREAD_FACTOR });
  const placeAnywhere = () =>
    placeTasks({ ...options, waitForecast: undefined });
  switch (policy) {
    case "decided":
      return placeGroup(options);
    case "always":
      return placeOnOneRack();
    case "never": {
      const placements = placeOnOneRack();
      return placements.every(({ startMs }) => startMs <= 0)
        ? placements
        : placeAnywhere();
    }
    case "fixed":
    case "informed":
      return placeAnywhere();
    default:
      return policy satisfies never;
  }
}
