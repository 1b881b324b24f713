/**
 * Shortest interval between status frames to all entries, in milliseconds for
 * each connected entry. The number of frames that an agent sends per second
 * thus does not grow with the number of entries. An entry whose run ends gets a
 * status at once.
 */
const STATUS_INTERVAL_PER_ENTRY_MS = 25;

/** Gets the least time between two status frames to all entries, in milliseconds. */
export function getStatusIntervalMs(entryCount: number): number {
  return STATUS_INTERVAL_PER_ENTRY_MS * entryCount;
}
