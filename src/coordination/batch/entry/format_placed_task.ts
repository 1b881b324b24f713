import type { PlacedTask } from "../../../state/batch/mod.ts";

/**
 * Formats where a task was placed for the log: its index, the agent and the expected
 * end, and whether it is away from its data or waits for a place near it.
 */
export function formatPlacedTask(placed: PlacedTask): string {
  const { index, agentId, endMs, startMs, isFar, place } = placed;
  const text = `${index}@${agentId} ${Math.round(endMs)} ms`;
  if (isFar) {
    return `${text} far`;
  }
  return place?.kind === "wait"
    ? `${text}, waits about ${Math.round(startMs)} ms for its rack`
    : text;
}
