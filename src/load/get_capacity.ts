import type { LoadShape } from "./load_shape.ts";

/**
 * Gets the capacity of a shape: milliseconds of work at speed 1 that are done
 * in a millisecond.
 */
export function getCapacity(
  shape: Pick<LoadShape, "slots" | "speeds">,
): number {
  return shape.slots * shape.speeds.reduce((sum, speed) => sum + speed, 0);
}
