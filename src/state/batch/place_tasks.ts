import type { BatchStep } from "./batch_step.ts";
import { hasRoom } from "./has_room.ts";
import type { PlacedTask } from "./placed_task.ts";
import { CapacityTimeline } from "./capacity_timeline.ts";
import type { WorkerLoad } from "./worker_load.ts";

/**
 * Slowdown of tasks on another rack than that of their data, when the platform
 * states none.
 */
const DEFAULT_FAR_FACTOR = 1.5;

/**
 * Extra run time expected on a worker that fails all its runs, as a multiple of
 * the run time: a failed run is repeated elsewhere. It is scaled by the share
 * of failed runs.
 */
const FAILURE_COST_FACTOR = 3;

/**
 * Cost of a millisecond of waiting relative to one of running. More urgent
 * tasks overtake those that wait, and other entries queue tasks at the same
 * worker, so a wait tends to last longer than expected. A run on a slow but
 * free worker does not.
 */
const WAIT_WEIGHT = 5;

export interface PlaceTasksOptions {
  step: BatchStep;
  /** Indexes of the tasks to place. */
  indexes: readonly number[];
  priority: number;
  loads: readonly WorkerLoad[];
  /** Number of tasks of the step that each agent already runs. */
  placedCounts?: ReadonlyMap<string, number>;
  /** Agents that a task is not placed on if others are available, by index. */
  avoidedAgents?: ReadonlyMap<number, ReadonlySet<string>>;
  /** Slowdown of tasks on another rack than that of their data. */
  farFactor?: number;
  /** Returns a number from 0 up to 1, which decides between equal workers. */
  getRandom?: () => number;
}

interface Candidate {
  readonly load: WorkerLoad;
  /** Expected run time of one task on the worker, in milliseconds. */
  readonly runMs: number;
  readonly timeline: CapacityTimeline;
  readonly tieBreaker: number;
  /** Number of tasks of the step on the worker. */
  count: number;
}

/**
 * Places tasks one after the other, each on the worker where its weighted time
 * until the end is shortest, taking into account the tasks placed before it.
 * Below capacity this is the fastest free worker, and above it the one that
 * has room first. A task that no worker could ever run is left out.
 */
export function placeTasks(options: PlaceTasksOptions): PlacedTask[] {
  const { step, indexes } = options;
  const candidates = createCandidates(options);
  const placements: PlacedTask[] = [];
  for (const index of indexes) {
    const avoided = options.avoidedAgents?.get(index);
    const available = candidates.filter(({ count }) =>
      count < step.maxPerWorker
    );
    const preferred = available.filter(({ load }) =>
      !avoided?.has(load.agentId)
    );
    const best = selectLowestCost(preferred.length > 0 ? preferred : available);
    if (best !== undefined) {
      const endMs = best.timeline.nextStartMs + best.runMs;
      placements.push({ index, agentId: best.load.agentId, endMs });
      best.count++;
      best.timeline.reserve(best.runMs);
    }
  }
  return placements;
}

function createCandidates(options: PlaceTasksOptions): Candidate[] {
  const { step, loads, priority, placedCounts } = options;
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
        (1 + FAILURE_COST_FACTOR * load.failureShare),
      timeline: new CapacityTimeline(load, {
        resources: step.resources,
        priority,
      }),
      tieBreaker: getRandom(),
      count: placedCounts?.get(load.agentId) ?? 0,
    });
  }
  return candidates;
}

/** Selects the candidate with the shortest weighted time until the end. */
function selectLowestCost(
  candidates: readonly Candidate[],
): Candidate | undefined {
  let best: Candidate | undefined;
  let bestMs = Infinity;
  for (const candidate of candidates) {
    const costMs = WAIT_WEIGHT * candidate.timeline.nextStartMs +
      candidate.runMs;
    const isTie = costMs === bestMs &&
      candidate.tieBreaker < (best?.tieBreaker ?? 1);
    if (costMs < bestMs || isTie) {
      best = candidate;
      bestMs = costMs;
    }
  }
  return best;
}
