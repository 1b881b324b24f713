import type { LoadEvent } from "./load_event.ts";

/**
 * Publishes the state of a zone as an operator does, by a change record in the
 * log. Throws if the log rejects the record.
 * @param logAddress - `host:port` of the log service.
 * @param event - Zone and its new state.
 * @param options - Unique id of the change.
 */
export async function publishZoneState(
  logAddress: string,
  event: Extract<LoadEvent, { type: "zone" }>,
  options: { id: string },
): Promise<void> {
  const response = await fetch(`http://${logAddress}/v1/records`, {
    method: "POST",
    body: JSON.stringify({
      type: "change",
      id: options.id,
      // The highest revision: the change is accepted whatever others have
      // changed before.
      baseRevision: Number.MAX_SAFE_INTEGER,
      operator: "load",
      edits: [{ path: `zones.${event.zone}.state`, value: event.state }],
    }),
  });
  if (!response.ok) {
    throw new Error(`the log refused the change: status ${response.status}`);
  }
}
