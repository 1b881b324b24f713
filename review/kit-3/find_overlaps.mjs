/** Finds tasks of which two runs were at work at the same time, from the workers' events. */
export function findOverlaps(events) {
  const active = new Map();
  const overlaps = [];
  for (const event of [...events].sort((a, b) => a.at - b.at)) {
    const { kind, task, run, worker, at } = event;
    if (kind === "started") {
      const others = active.get(task) ?? [];
      for (const other of others) {
        overlaps.push({ task, first: other, second: { worker, run, at }, endAt: undefined });
      }
      active.set(task, [...others, { worker, run, at }]);
    } else if (kind === "ended") {
      active.set(task, (active.get(task) ?? []).filter((other) => other.worker !== worker));
      for (const overlap of overlaps) {
        if (overlap.task === task && overlap.endAt === undefined) {
          overlap.endAt = at;
        }
      }
    }
  }
  return overlaps;
}
