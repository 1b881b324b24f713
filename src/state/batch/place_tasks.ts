import { addTaskToLoad } from "./add_task_to_load.ts";
import { getExpectedEnd } from "./get_expected_end.ts";
import { hasRoom } from "./has_room.ts";
import type { BatchStep } from "./batch_step.ts";
import type { PlacedTask } from "./placed_task.ts";
import type { WorkerLoad } from "./worker_load.ts";

/**
 * Slowdown of tasks away from the rack of their data, when the platform states
 * none.
 */
const DEFAULT_FAR_FACTOR = 1.5;

export interface PlaceTasksOptions {
  step: BatchStep;
  /** Indexes of the tasks to place. */
  indexes: readonly number[];
  priority: number;
  loads: readonly WorkerLoad[];
  /** Agents that already run tasks of the step, with their number. */
  placed?: ReadonlyMap<string, number>;
  /** Agents that a task should not go to again, by index. */
  avoid?: ReadonlyMap<number, ReadonlySet<string>>;
  /** Slowdown of tasks on another rack than that of their data. */
  farFactor?: number;
  /** A number from 0 up to 1, for ties. */
  getRandom?: () => number;
}

/**
 * Places tasks one after the other, each on the worker where it is expected to
 * end first, with the tasks placed before it taken into account. It answers any
 * load: below capacity it picks the fastest free worker, above it the one whose
 * queue is served first. A task that no worker could ever run is left out.
 */
export function placeTasks(options: PlaceTasksOptions): PlacedTask[] {
  const { step, indexes, priority } = options;
  const getRandom = options.getRandom ?? Math.random;
  const candidates = options.loads
    .filter((load) =>
      hasRoom(load.capacity, step.resources) &&
      (step.requiredLabel === undefined ||
        load.labels.includes(step.requiredLabel))
    )
    .map((load) => ({
      load,
      count: options.placed?.get(load.agentId) ?? 0,
      tie: getRandom(),
    }));
  const placements: PlacedTask[] = [];
  for (const index of indexes) {
    const avoided = options.avoid?.get(index);
    const open = candidates.filter(({ count }) => count < step.maxPerWorker);
    const others = open.filter(({ load }) => !avoided?.has(load.agentId));
    let best: (typeof candidates)[number] | undefined;
    let bestEnd = Infinity;
    for (const candidate of others.length > 0 ? others : open) {
      const { load } = candidate;
      const isFar = step.preferredRack !== undefined &&
        !load.labels.includes(step.preferredRack);
      const expectedMs = step.expectedMs *
        (isFar ? options.farFactor ?? DEFAULT_FAR_FACTOR : 1);
      const end = getExpectedEnd(load, {
        resources: step.resources,
        expectedMs,
        priority,
      });
      if (
        end < bestEnd ||
        (end === bestEnd && best !== undefined && candidate.tie < best.tie)
      ) {
        best = candidate;
        bestEnd = end;
      }
    }
    if (best === undefined) {
      continue;
    }
    placements.push({ index, agentId: best.load.agentId, endMs: bestEnd });
    best.count++;
    best.load = addTaskToLoad(best.load, { ...step, priority });
  }
  return placements;
}
