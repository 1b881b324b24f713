/**
 * Finds pairs of runs of one task that were at work at the same time.
 * @param runs - Runs with `task`, `start` and `end` in milliseconds.
 */
export function findOverlaps(runs) {
  const overlaps = [];
  runs.forEach((first, index) => {
    for (const second of runs.slice(index + 1)) {
      const overlapMs = Math.min(first.end, second.end) -
        Math.max(first.start, second.start);
      if (first.task === second.task && overlapMs > 1) {
        overlaps.push({ first, second, overlapMs });
      }
    }
  });
  return overlaps;
}
