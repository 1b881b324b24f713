import type { TimelineEvent } from "../state/timeline/mod.ts";
import type { TimelineRow } from "./timeline_row.ts";

/**
 * Merges the events of several processes into one timeline, ordered by Lamport
 * clock: an event never comes before its cause, even when the wall clocks
 * disagree. Events with equal clocks are ordered by member id.
 */
export function mergeEvents(
  events: readonly TimelineEvent[],
): TimelineRow[] {
  const sorted = events.toSorted((first, second) =>
    first.clock - second.clock ||
    (first.memberId < second.memberId ? -1 : 1)
  );
  const startMs = sorted[0]?.timeMs ?? 0;
  return sorted.map((event) => ({
    offsetMs: event.timeMs - startMs,
    clock: event.clock,
    process: event.memberId,
    type: event.type,
    index: event.index ?? null,
    attempt: event.attempt ?? null,
    detail: event.detail ?? "",
  }));
}
