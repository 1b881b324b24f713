import type { LogLine } from "../log_line.ts";
import type { ExplainedRun } from "./explained_run.ts";
import type { LogIndex } from "./log_index.ts";
import type { OverlapCause } from "./overlap_cause.ts";

/** Longest time between two admissions of which neither entry knew the other. */
const MAX_BLIND_MS = 1_000;

/** Events of an entry that show that an incarnation of it has ended. */
const END_EVENTS: ReadonlySet<string> = new Set(["starting", "stopped"]);

/** Finds how a task came to have two runs at the same time. */
export function findOverlapCause(
  runs: readonly [ExplainedRun, ExplainedRun],
  index: LogIndex,
): OverlapCause {
  const [first, second] = runs;
  if (first.entry !== undefined && first.entry === second.entry) {
    return "one_entry";
  }
  const admissions = runs.flatMap(({ admission }) => admission ?? [])
    .sort((a, b) => a.time - b.time);
  const [earlier, later] = admissions;
  if (earlier === undefined || later === undefined) {
    return "unknown";
  }
  if (hasEnded(earlier, later, index)) {
    return "entry_ended";
  }
  if (later.time - earlier.time <= MAX_BLIND_MS) {
    return "both_admitted";
  }
  return second.decision?.event === "task_placed_again"
    ? "placed_again"
    : "admitted_later";
}

/**
 * Returns whether the entry of the earlier admission had ended by the later one:
 * it or an agent logged an end, or the other entry was itself started meanwhile,
 * and it wrote nothing more until its next start. Silence alone tells nothing:
 * the entry may have ended later.
 */
function hasEnded(earlier: LogLine, later: LogLine, index: LogIndex): boolean {
  const isBetween = ({ time }: LogLine) =>
    time > earlier.time && time <= later.time;
  const lines = index.getLines(earlier.process);
  const start = lines.find(({ event, time }) =>
    event === "starting" && time > earlier.time
  );
  const nextStartAt = start?.time ?? Infinity;
  const hasGoneOn = lines.some(({ time }) =>
    time >= later.time && time < nextStartAt
  );
  return !hasGoneOn && (
    lines.some((line) => END_EVENTS.has(line.event) && isBetween(line)) ||
    index.getLinesAboutPeer(earlier.process).some((line) =>
      line.event === "entry_lost" && isBetween(line)
    ) ||
    start !== undefined &&
      index.getLines(later.process).some((line) =>
        line.event === "starting" && isBetween(line)
      )
  );
}
