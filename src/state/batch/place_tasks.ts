import type { BatchStep } from "./batch_step.ts";
import { CapacityTimeline } from "./capacity_timeline.ts";
import { decideWaitForPlace } from "./decide_wait_for_place.ts";
import { hasRoom } from "./has_room.ts";
import type { PlaceDecision } from "./place_decision.ts";
import type { PlacedTask } from "./placed_task.ts";
import type { WaitForecast } from "./wait_forecast.ts";
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
  /**
   * Waits of earlier tasks, by which it is decided how long a task waits for a
   * place near its data; without them, a wait has a fixed cost.
   */
  waitForecast?: WaitForecast | undefined;
  /** Time left until the latency target of the job, in milliseconds. */
  targetLeftMs?: number;
  /** Returns a number from 0 up to 1, which decides between equal workers. */
  getRandom?: () => number;
}

interface Candidate {
  readonly load: WorkerLoad;
  /** Whether the worker is away from the data of the task. */
  readonly isFar: boolean;
  /** Expected run time of one task on the worker, in milliseconds. */
  readonly runMs: number;
  readonly timeline: CapacityTimeline;
  readonly tieBreaker: number;
  /** Number of tasks of the step on the worker. */
  count: number;
  /** Weighted time until the end of the next task, or at least this long. */
  costMs: number;
  /** Whether `costMs` is exact. */
  isExact: boolean;
}

/**
 * Places tasks one after the other, each on the worker where its weighted time
 * until the end is shortest, taking into account the tasks placed before it.
 * Below capacity this is the fastest free worker, and above it the one that
 * has room first. A task that no worker could ever run is left out.
 *
 * For tasks that name the rack of their data, the best workers there and elsewhere
 * are selected in this way, and `decideWaitForPlace` decides between the two.
 */
export function placeTasks(options: PlaceTasksOptions): PlacedTask[] {
  const { step, indexes, waitForecast } = options;
  const candidates = createCandidates(options);
  const rack = step.preferredRack;
  const placements: PlacedTask[] = [];
  for (const index of indexes) {
    const selectOptions = {
      maxCount: step.maxPerWorker,
      avoided: options.avoidedAgents?.get(index),
    };
    const { best, place } = rack === undefined || waitForecast === undefined
      ? { best: selectBest(candidates, selectOptions), place: undefined }
      : selectNearOrFar(candidates, {
        ...selectOptions,
        rack,
        waitForecast,
        targetLeftMs: options.targetLeftMs ?? Infinity,
      });
    if (best !== undefined) {
      const startMs = best.timeline.nextStartMs;
      placements.push({
        index,
        agentId: best.load.agentId,
        endMs: startMs + best.runMs,
        startMs,
        isFar: best.isFar,
        place,
      });
      best.count++;
      best.timeline.reserve(best.runMs);
      best.isExact = false;
      best.costMs = 0;
    }
  }
  return placements;
}

function createCandidates(options: PlaceTasksOptions): Candidate[] {
  const { step, loads, priority, placedCounts } = options;
  const { expectedMs, preferredRack, requiredLabel, resources } = step;
  const getRandom = options.getRandom ?? Math.random;
  const farFactor = options.farFactor ?? DEFAULT_FAR_FACTOR;
  const task = { resources, priority };
  const candidates: Candidate[] = [];
  for (const load of loads) {
    const hasLabel = requiredLabel === undefined ||
      load.labels.includes(requiredLabel);
    if (!hasLabel || !hasRoom(load.capacity, resources)) {
      continue;
    }
    const isFar = preferredRack !== undefined &&
      !load.labels.includes(preferredRack);
    const runMs = expectedMs * load.slowdown * (isFar ? farFactor : 1) *
      (1 + FAILURE_COST_FACTOR * load.failureShare);
    const timeline = new CapacityTimeline(load, task);
    candidates.push({
      load,
      isFar,
      runMs,
      timeline,
      tieBreaker: getRandom(),
      count: placedCounts?.get(load.agentId) ?? 0,
      costMs: WAIT_WEIGHT * timeline.minStartMs + runMs,
      isExact: false,
    });
  }
  return candidates;
}

interface SelectOptions {
  /** Number of tasks of the step on a worker from which on it gets no more. */
  maxCount: number;
  /** Agents that are avoided. */
  avoided?: ReadonlySet<string> | undefined;
  /** Restricts the selection to workers away from the data, or near it. */
  isFar?: boolean;
}

/** Selects the best candidate, an avoided agent only if there is no other. */
function selectBest(
  candidates: readonly Candidate[],
  options: SelectOptions,
): Candidate | undefined {
  return selectLowestCost(candidates, options) ??
    selectLowestCost(candidates, { maxCount: options.maxCount });
}

/**
 * Selects the candidate with the shortest weighted time until the end among those
 * that are not to be avoided.
 */
function selectLowestCost(
  candidates: readonly Candidate[],
  { maxCount, avoided, isFar }: SelectOptions,
): Candidate | undefined {
  let best: Candidate | undefined;
  for (const candidate of candidates) {
    if (
      candidate.count < maxCount &&
      (isFar === undefined || candidate.isFar === isFar) &&
      avoided?.has(candidate.load.agentId) !== true &&
      (best === undefined || isBetter(candidate, best))
    ) {
      best = candidate;
    }
  }
  return best;
}

/**
 * Returns whether a candidate is better than the best one so far. Most can't be by
 * a bound of their cost, which saves computing the queue of their worker.
 */
function isBetter(candidate: Candidate, best: Candidate): boolean {
  updateCost(best);
  if (candidate.costMs > best.costMs) {
    return false;
  }
  updateCost(candidate);
  return candidate.costMs < best.costMs ||
    (candidate.costMs === best.costMs &&
      candidate.tieBreaker < best.tieBreaker);
}

function updateCost(candidate: Candidate): void {
  if (!candidate.isExact) {
    candidate.costMs = WAIT_WEIGHT * candidate.timeline.nextStartMs +
      candidate.runMs;
    candidate.isExact = true;
  }
}

/** Selects the best worker near the data or elsewhere. */
function selectNearOrFar(
  candidates: readonly Candidate[],
  options: SelectOptions & {
    rack: string;
    waitForecast: WaitForecast;
    targetLeftMs: number;
  },
): { best: Candidate | undefined; place: PlaceDecision | undefined } {
  const { rack, waitForecast, targetLeftMs } = options;
  const near = selectLowestCost(candidates, { ...options, isFar: false });
  const far = selectLowestCost(candidates, { ...options, isFar: true });
  if (near === undefined || far === undefined) {
    const best = near ?? far ?? selectBest(candidates, options);
    return { best, place: undefined };
  }
  const { meanMs, longMs } = waitForecast.estimate(
    rack,
    near.timeline.nextStartMs,
  );
  const place = decideWaitForPlace({
    near: { waitMs: meanMs, longWaitMs: longMs, runMs: near.runMs },
    far: { waitMs: far.timeline.nextStartMs, runMs: far.runMs },
    targetLeftMs,
  });
  return { best: place.kind === "far" ? far : near, place };
}
