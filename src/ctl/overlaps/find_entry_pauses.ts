import type { LogLine } from "../log_line.ts";
import type { EntryPause } from "./entry_pause.ts";

/**
 * Longest time between the end of a pause and the reading of a request that may
 * have waited for it, in milliseconds.
 */
const MAX_EFFECT_MS = 3_000;

/** Shortest time without a line that is reported, as for `process_paused`. */
const MIN_SILENCE_MS = 500;

/**
 * Finds the pauses of an entry before it read a request. Without any line
 * about pauses, as in logs of earlier versions, these are the times without a
 * line.
 * @param lines - All lines of the entry, in the order of their times.
 * @param readAt - When it read the request, as time of day in milliseconds.
 */
export function findEntryPauses(
  lines: readonly LogLine[],
  readAt: number,
): EntryPause[] {
  const logged = lines.filter(({ event }) => event === "process_paused");
  const pauses = logged.length > 0
    ? logged.map(createLoggedPause)
    : findSilences(lines);
  // The line of a pause follows those of the requests that arrived meanwhile.
  return pauses.filter(({ endedAt, lengthMs }) =>
    endedAt - lengthMs < readAt && endedAt > readAt - MAX_EFFECT_MS
  );
}

function createLoggedPause({ time, pausedMs }: LogLine): EntryPause {
  return { kind: "paused", lengthMs: Number(pausedMs), endedAt: time };
}

function findSilences(lines: readonly LogLine[]): EntryPause[] {
  return lines.flatMap(({ time, event }, position): EntryPause[] => {
    const lengthMs = time - (lines[position - 1]?.time ?? time);
    // Before its start, the process was not there.
    return lengthMs < MIN_SILENCE_MS || event === "starting"
      ? []
      : [{ kind: "silent", lengthMs, endedAt: time }];
  });
}
