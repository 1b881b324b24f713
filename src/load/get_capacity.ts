import type { ClusterShape } from "./cluster_shape.ts";

/**
 * Gets the capacity of a cluster: the work that it does per millisecond, in
 * milliseconds of run time at speed 1.
 */
export function getCapacity(
  shape: Pick<ClusterShape, "slots" | "speeds">,
): number {
  return shape.slots * shape.speeds.reduce((sum, speed) => sum + speed, 0);
}
