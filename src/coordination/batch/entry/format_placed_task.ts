import type { PlacedTask } from "../../../state/batch/mod.ts";

/**
 * Formats where a task was placed for the log: its index, the agent and the expected
 * end, and whether it is away from its data or its group, or waits for a place near it.
 */
export function formatPlacedTask(placed: PlacedTask): string {
  const { index, agentId, endMs, startMs, isFar, place, group } = placed;
  const far = isFar ? " far" : "";
  const spread = group?.kind === "spread" ? " spread" : "";
  const text = `${index}@${agentId} ${Math.round(endMs)} ms${far}${spread}`;
  const waits = place?.kind === "wait" ||
    (group?.kind === "wait" && startMs > 0);
  return waits
    ? `${text}, waits about ${Math.round(startMs)} ms for its rack`
    : text;
}
