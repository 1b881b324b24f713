import type { BatchStep } from "./batch_step.ts";
import { hasRoom } from "./has_room.ts";
import type { PlacedTask } from "./placed_task.ts";
import { CapacityTimeline } from "./capacity_timeline.ts";
import type { WorkerLoad } from "./worker_load.ts";

/**
 * Slowdown of tasks away from the rack of their data, when the platform states
 * none.
 */
const DEFAULT_FAR_FACTOR = 1.5;

/**
 * A worker that fails all its runs is taken for this many times slower: a failed
 * run is repeated elsewhere.
 */
const FAILURE_COST = 3;

/**
 * Weight of a millisecond of waiting against one of running. Tasks that wait
 * are passed by more urgent ones, and other entries queue at the same worker, so
 * a wait lasts longer than expected; a run at a slow but free worker does not.
 */
const WAIT_WEIGHT = 5;

export interface PlaceTasksOptions {
  step: BatchStep;
  /** Indexes of the tasks to place. */
  indexes: readonly number[];
  priority: number;
  loads: readonly WorkerLoad[];
  /** Agents that already run tasks of the step, with their number. */
  placedCounts?: ReadonlyMap<string, number>;
  /** Agents that a task should not go to again, by index. */
  avoidedAgents?: ReadonlyMap<number, ReadonlySet<string>>;
  /** Slowdown of tasks on another rack than that of their data. */
  farFactor?: number;
  /** A number from 0 up to 1, for ties. */
  getRandom?: () => number;
}

interface Candidate {
  readonly load: WorkerLoad;
  /** Expected run time of one task there, in milliseconds. */
  readonly runMs: number;
  readonly room: CapacityTimeline;
  readonly tie: number;
  /** Tasks of the step there. */
  count: number;
}

/**
 * Places tasks one after the other, each on the worker where it is expected to
 * end first, with the tasks placed before it taken into account. It answers any
 * load: below capacity it picks the fastest free worker, above it the one whose
 * queue is served first. A task that no worker could ever run is left out.
 */
export function placeTasks(options: PlaceTasksOptions): PlacedTask[] {
  const { step, indexes } = options;
  const candidates = createCandidates(options);
  const placements: PlacedTask[] = [];
  for (const index of indexes) {
    const avoided = options.avoidedAgents?.get(index);
    const open = candidates.filter(({ count }) => count < step.maxPerWorker);
    const others = open.filter(({ load }) => !avoided?.has(load.agentId));
    const best = selectFirstEnd(others.length > 0 ? others : open);
    if (best !== undefined) {
      const endMs = best.room.nextStartMs + best.runMs;
      placements.push({ index, agentId: best.load.agentId, endMs });
      best.count++;
      best.room.reserve(best.runMs);
    }
  }
  return placements;
}

function createCandidates(options: PlaceTasksOptions): Candidate[] {
  const { step, loads, priority, placedCounts: placed } = options;
  const getRandom = options.getRandom ?? Math.random;
  const farFactor = options.farFactor ?? DEFAULT_FAR_FACTOR;
  const candidates: Candidate[] = [];
  for (const load of loads) {
    const hasLabel = step.requiredLabel === undefined ||
      load.labels.includes(step.requiredLabel);
    if (!hasLabel || !hasRoom(load.capacity, step.resources)) {
      continue;
    }
    const isFar = step.preferredRack !== undefined &&
      !load.labels.includes(step.preferredRack);
    candidates.push({
      load,
      runMs: step.expectedMs * load.slowdown * (isFar ? farFactor : 1) *
        (1 + FAILURE_COST * load.failureShare),
      room: new CapacityTimeline(load, { resources: step.resources, priority }),
      tie: getRandom(),
      count: placed?.get(load.agentId) ?? 0,
    });
  }
  return candidates;
}

/** Selects the candidate with the least weighted time until the end. */
function selectFirstEnd(
  candidates: readonly Candidate[],
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestMs = Infinity;
  for (const candidate of candidates) {
    const costMs = WAIT_WEIGHT * candidate.room.nextStartMs + candidate.runMs;
    const isTie = costMs === bestMs && candidate.tie < (best?.tie ?? 1);
    if (costMs < bestMs || isTie) {
      best = candidate;
      bestMs = costMs;
    }
  }
  return best;
}
