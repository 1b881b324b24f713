/**
 * Places tasks that run faster when all of them run on one rack. The load it answers:
 * no rack has room for all of them now, but most have room for some. Spread over racks
 * they start at once and each takes some times as long; on one rack the last ones wait.
 * What counts is when the last task ends, so whole plans are compared: one for each rack,
 * and one over all workers.
 */
import { decideWaitForPlace } from "./decide_wait_for_place.ts";
import { placeTasks, type PlaceTasksOptions } from "./place_tasks.ts";
import type { GroupPlace } from "./group_place.ts";
import type { PlacedGroup } from "./placed_group.ts";
import type { PlacedTask } from "./placed_task.ts";
import type { WaitForecast } from "./wait_forecast.ts";
import type { WorkerLoad } from "./worker_load.ts";

/** Slowdown of tasks that are spread over racks, when the platform states none. */
const DEFAULT_SPREAD_FACTOR = 1.5;

const NO_GROUP: PlacedGroup = { racks: new Set(), leftMs: 0, totalLeftMs: 0 };

export interface PlaceGroupOptions extends PlaceTasksOptions {
  waitForecast: WaitForecast;
  /** The other tasks of the group that are placed already. */
  placedGroup?: PlacedGroup;
  /**
   * Avoided agents that have only declined the task, by index. If the rack has no
   * others left, the task waits at one of them: elsewhere it would slow its group.
   */
  declinedAgents?: ReadonlyMap<number, ReadonlySet<string>>;
}

interface Plan {
  readonly placements: readonly PlacedTask[];
  /** Expected wait and run time of the task that ends last, in milliseconds. */
  readonly waitMs: number;
  readonly runMs: number;
  /** Wait that few of the tasks exceed, in milliseconds. */
  readonly longWaitMs: number;
  /** Whether a task is placed on an avoided agent other than one that declined it. */
  readonly usesAvoided: boolean;
}

/**
 * Places tasks of a group on the rack where the last of them is expected to end first,
 * or spreads them over racks if `decideWaitForPlace` finds that waiting for room on
 * that rack doesn't pay. Tasks that are placed again are placed on the rack of the
 * others, or anywhere; if the others are on several racks already, anywhere. A task that
 * no worker could ever run is left out.
 */
export function placeGroup(options: PlaceGroupOptions): PlacedTask[] {
  const { step, loads, placedGroup, targetLeftMs = Infinity } = options;
  const spreadFactor = options.farFactor ?? DEFAULT_SPREAD_FACTOR;
  const spread = createPlan(options, {
    ...options,
    step: { ...step, expectedMs: step.expectedMs * spreadFactor },
  });
  const best = selectPlanOfRack(options, spread);
  if (best === undefined) {
    return addGroupPlace(spread, loads, "spread");
  }
  const { leftMs, totalLeftMs } = placedGroup ?? NO_GROUP;
  const { kind } = decideWaitForPlace({
    near: extendPlan(best, leftMs),
    far: extendPlan(spread, leftMs * spreadFactor),
    targetLeftMs,
    // A run that is handed back would be spread, and the others with it.
    canBeChecked: false,
    othersExtraMs: totalLeftMs * (spreadFactor - 1),
  });
  if (kind === "far") {
    return addGroupPlace(spread, loads, "spread");
  }
  const waits = best.placements.some(({ startMs }) => startMs > 0);
  return addGroupPlace(best, loads, waits ? "wait" : "together");
}

/** Selects the plan for one rack by which the last task ends first. */
function selectPlanOfRack(
  options: PlaceGroupOptions,
  spread: Plan,
): Plan | undefined {
  const { indexes, loads, placedGroup } = options;
  const getRandom = options.getRandom ?? Math.random;
  const { racks: placedRacks } = placedGroup ?? NO_GROUP;
  let best: { plan: Plan; tieBreaker: number } | undefined;
  for (const [rack, ofRack] of getLoadsByRack(loads)) {
    if (
      placedRacks.size > 1 || (placedRacks.size > 0 && !placedRacks.has(rack))
    ) {
      continue;
    }
    const plan = createPlan(options, { ...options, loads: ofRack });
    const isUsable = plan.placements.length === indexes.length &&
      (!plan.usesAvoided || spread.usesAvoided);
    const tieBreaker = getRandom();
    const differenceMs = getEndMs(plan) -
      (best === undefined ? Infinity : getEndMs(best.plan));
    const isBetter = differenceMs < 0 ||
      (differenceMs === 0 && tieBreaker < (best?.tieBreaker ?? 1));
    if (isUsable && isBetter) {
      best = { plan, tieBreaker };
    }
  }
  return best?.plan;
}

/** Places the tasks, and estimates when they start and end by earlier waits. */
function createPlan(
  { loads, waitForecast, avoidedAgents, declinedAgents }: PlaceGroupOptions,
  placeOptions: PlaceTasksOptions,
): Plan {
  const placements = placeTasks(placeOptions);
  const racks = getRacksByAgent(loads);
  let last = { waitMs: 0, runMs: 0 };
  let longEndMs = 0;
  let usesAvoided = false;
  for (const { index, agentId, startMs, endMs } of placements) {
    const rack = racks.get(agentId) ?? "";
    const { meanMs, longMs } = waitForecast.estimate(rack, startMs);
    const runMs = endMs - startMs;
    if (meanMs + runMs > last.waitMs + last.runMs) {
      last = { waitMs: meanMs, runMs };
    }
    longEndMs = Math.max(longEndMs, longMs + runMs);
    usesAvoided ||= avoidedAgents?.get(index)?.has(agentId) === true &&
      declinedAgents?.get(index)?.has(agentId) !== true;
  }
  const longWaitMs = longEndMs - last.runMs;
  return { placements, ...last, longWaitMs, usesAvoided };
}

/** Extends the run time of a plan to the end of the tasks that are placed already. */
function extendPlan(plan: Plan, leftMs: number): Plan {
  return { ...plan, runMs: Math.max(plan.runMs, leftMs - plan.waitMs) };
}

function getEndMs({ waitMs, runMs }: Plan): number {
  return waitMs + runMs;
}

function addGroupPlace(
  { placements }: Plan,
  loads: readonly WorkerLoad[],
  kind: GroupPlace["kind"],
): PlacedTask[] {
  const racks = getRacksByAgent(loads);
  return placements.map((placed) => ({
    ...placed,
    group: { kind, rack: racks.get(placed.agentId) ?? "" },
  }));
}

function getRacksByAgent(loads: readonly WorkerLoad[]): Map<string, string> {
  return new Map(loads.map((load) => [load.agentId, getRack(load)]));
}

function getLoadsByRack(
  loads: readonly WorkerLoad[],
): Map<string, WorkerLoad[]> {
  const groups = new Map<string, WorkerLoad[]>();
  for (const load of loads) {
    const rack = getRack(load);
    const group = groups.get(rack);
    if (group === undefined) {
      groups.set(rack, [load]);
    } else {
      group.push(load);
    }
  }
  return groups;
}

/** Gets the rack of a worker; one whose rack isn't known counts as a rack of its own. */
function getRack({ agentId, rack }: WorkerLoad): string {
  return rack === "" ? `agent ${agentId}` : rack;
}
