import type { LoggedRun } from "./logged_run.ts";
import type { RunOverlap } from "./run_overlap.ts";

/**
 * Finds all pairs of runs of one task that were executing at the same time, in
 * the order in which the overlaps began.
 * @param runsByTask - Runs at all agents, by the names of their tasks.
 * @param toleranceMs - Time that an overlap must exceed, in milliseconds; the
 * clocks of two machines may differ by so much.
 */
export function findRunOverlaps(
  runsByTask: ReadonlyMap<string, readonly LoggedRun[]>,
  toleranceMs: number,
): RunOverlap[] {
  return [...runsByTask.values()]
    .flatMap((runs) => findOverlapsOfTask(runs, toleranceMs))
    .sort((a, b) => a.second.start.latest - b.second.start.latest);
}

function findOverlapsOfTask(
  runs: readonly LoggedRun[],
  toleranceMs: number,
): RunOverlap[] {
  const sorted = runs.toSorted((a, b) => a.start.latest - b.start.latest);
  return sorted.flatMap((first, index) =>
    sorted.slice(index + 1).flatMap((second) =>
      createOverlap(first, second, toleranceMs) ?? []
    )
  );
}

function createOverlap(
  first: LoggedRun,
  second: LoggedRun,
  toleranceMs: number,
): RunOverlap | undefined {
  const leastMs = Math.min(first.end.earliest, second.end.earliest) -
    Math.max(first.start.latest, second.start.latest);
  const mostMs = Math.min(first.end.latest, second.end.latest) -
    Math.max(first.start.earliest, second.start.earliest);
  return mostMs > toleranceMs
    ? {
      first,
      second,
      certainty: leastMs > toleranceMs ? "certain" : "possible",
      leastMs: Math.max(0, leastMs),
      mostMs,
    }
    : undefined;
}
