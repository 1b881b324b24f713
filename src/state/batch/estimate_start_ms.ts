import { addResources } from "./add_resources.ts";
import { hasRoom } from "./has_room.ts";
import type { TaskResources } from "./task_resources.ts";

/** A run that occupies room of a worker for some time. */
interface Occupation {
  readonly resources: TaskResources;
  /** Time for which it occupies its room from its start on, or from now on, in milliseconds. */
  readonly forMs: number;
}

export interface EstimateStartMsOptions {
  /** Resources that no started run uses. */
  free: TaskResources;
  /** The started runs, with the time that each has left. */
  running: readonly Occupation[];
  /** The queued runs that are started before the new one, in this order. */
  queued: readonly Occupation[];
  /** Resources that the new run needs. */
  resources: TaskResources;
}

/**
 * Estimates the time until a worker has room for a new run, in milliseconds, by
 * starting the queued runs in turn as the started ones end. `Infinity` if the run
 * never fits.
 */
export function estimateStartMs(options: EstimateStartMsOptions): number {
  const ends = options.running.map(({ resources, forMs }) => ({
    resources,
    atMs: forMs,
  }));
  let { free } = options;
  let nowMs = 0;
  const waitForRoom = (resources: TaskResources): boolean => {
    while (!hasRoom(free, resources)) {
      ends.sort((a, b) => b.atMs - a.atMs);
      const next = ends.pop();
      if (next === undefined) {
        return false;
      }
      nowMs = Math.max(nowMs, next.atMs);
      free = addResources(free, next.resources);
    }
    return true;
  };
  for (const { resources, forMs } of options.queued) {
    if (waitForRoom(resources)) {
      free = addResources(free, resources, -1);
      ends.push({ resources, atMs: nowMs + forMs });
    }
  }
  return waitForRoom(options.resources) ? nowMs : Infinity;
}
