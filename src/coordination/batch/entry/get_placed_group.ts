import type { PlacedGroup } from "../../../state/batch/mod.ts";
import type { BatchTask } from "./batch_task.ts";

/**
 * Gets where those tasks of a step are that run or may run, for placing others
 * again. Tasks that are done no longer hold the group to their rack.
 * @param now - Current time on the monotonic clock, in milliseconds.
 */
export function getPlacedGroup(
  tasks: readonly BatchTask[],
  now: number,
): PlacedGroup {
  const racks = new Set<string>();
  let leftMs = 0;
  let totalLeftMs = 0;
  for (const { state, placed, sentAt } of tasks) {
    if ((state === "sent" || state === "lost") && placed?.group !== undefined) {
      racks.add(placed.group.rack);
      const taskLeftMs = Math.max(0, placed.endMs - (now - sentAt));
      leftMs = Math.max(leftMs, taskLeftMs);
      totalLeftMs += taskLeftMs;
    }
  }
  return { racks, leftMs, totalLeftMs };
}
