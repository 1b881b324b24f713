import type { ClusterShape } from "./cluster_shape.ts";

/**
 * Gets the capacity of a shape: milliseconds of work at speed 1 that are done
 * in a millisecond.
 */
export function getCapacity(
  shape: Pick<ClusterShape, "slots" | "speeds">,
): number {
  return shape.slots * shape.speeds.reduce((sum, speed) => sum + speed, 0);
}
