import type { Candidate } from "./candidate.ts";
import type { PlacementPolicy } from "./placement_policy.ts";
import type { PlacementRequest } from "./placement_request.ts";
import type { RunTimes } from "./run_times.ts";
import { SlowWorkerGuard } from "./slow_worker_guard.ts";

export interface PlacementSelectorOptions<T extends Candidate> {
  getPlacementPolicy: () => PlacementPolicy;
  /** Gets the agents in service that offer a service. */
  getOfferingAgents: (service: string) => readonly T[];
  /** Gets the agents with credits, the least recently used first. */
  getAgentsWithCredits: () => Iterable<T>;
  canPlaceOn: (agentId: string) => boolean;
  /** May a task be the first one on an agent after failures? */
  canProbe: (agentId: string, isRepeatable: boolean) => boolean;
  runTimes: RunTimes;
  /** Gets the number of waiting tasks of a service. */
  getWaiting: (service: string) => number;
  /**
   * Called when a task that was held back for a faster agent should look again.
   */
  onHoldExpired: () => void;
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/** Selects the agent for a task. */
export class PlacementSelector<T extends Candidate> {
  readonly #options: PlacementSelectorOptions<T>;
  readonly #guard: SlowWorkerGuard<T>;
  readonly #usable = new Map<string, ReadonlySet<T>>();

  constructor(options: PlacementSelectorOptions<T>) {
    this.#options = options;
    this.#guard = new SlowWorkerGuard(options);
  }

  /**
   * Forgets which agents are usable, after links, health or the view have
   * changed.
   */
  invalidateUsable(): void {
    this.#usable.clear();
  }

  /** Stops the timer. */
  stop(): void {
    this.#guard.stop();
  }

  /**
   * Can some agent take a task of the service, apart from what excludes single
   * agents?
   */
  hasAvailableAgent(service: string): boolean {
    const usable = this.#getUsable(service);
    const placement = this.#options.getPlacementPolicy();
    switch (placement.type) {
      case "credits":
        for (const candidate of this.#options.getAgentsWithCredits()) {
          if (usable.has(candidate)) {
            return true;
          }
        }
        return false;
      case "least_loaded":
      case "random":
        return usable.size > 0;
      default:
        return placement satisfies never;
    }
  }

  /** Selects an agent, or gets undefined when the task should wait. */
  select(request: PlacementRequest): T | undefined {
    const placement = this.#options.getPlacementPolicy();
    switch (placement.type) {
      case "credits":
        return this.#selectByCredits(request, placement);
      case "least_loaded":
        return this.#selectLeastLoaded(request, placement.maxCandidates);
      case "random":
        return this.#selectRandom(request);
      default:
        return placement satisfies never;
    }
  }

  #selectByCredits(
    request: PlacementRequest,
    placement: PlacementPolicy & { type: "credits" },
  ): T | undefined {
    const best = this.#findBest(request, placement);
    if (best === undefined || request.isDequeued) {
      return best;
    }
    const usable = this.#getUsable(request.service);
    const { slowFactor } = placement;
    return this.#guard.canStart(best, request, { usable, slowFactor })
      ? best
      : undefined;
  }

  /**
   * Finds the agent that was used least recently among those with the shortest
   * run time.
   */
  #findBest(
    request: PlacementRequest,
    placement: PlacementPolicy & { type: "credits" },
  ): T | undefined {
    const { getAgentsWithCredits: getReady, runTimes } = this.#options;
    const canUse = this.#createFilter(request);
    const mean = runTimes.getMean(request.runTimeKey) ?? 0;
    const compared: { candidate: T; runMs: number }[] = [];
    let shortest = Infinity;
    for (const candidate of getReady()) {
      if (canUse(candidate)) {
        // One task at a time finds out about an agent while others are known.
        const runMs =
          runTimes.getAgentMean(request.runTimeKey, candidate.member.id) ??
            (candidate.inFlight === 0 ? mean : 2 * mean);
        shortest = Math.min(shortest, runMs);
        compared.push({ candidate, runMs });
      }
      if (compared.length >= placement.maxCandidates) {
        break;
      }
    }
    const limit = shortest * placement.equalFactor;
    return compared.find(({ runMs }) => runMs <= limit)?.candidate;
  }

  #selectLeastLoaded(request: PlacementRequest, count: number): T | undefined {
    const canUse = this.#createFilter(request);
    const usable = [...this.#getUsable(request.service)];
    const start = Math.floor(Math.random() * usable.length);
    let best: T | undefined;
    for (let n = 0; n < Math.min(count, usable.length); n++) {
      const candidate = usable[(start + n) % usable.length] as T;
      const isFull = candidate.load >= candidate.member.slots;
      if (
        !isFull && canUse(candidate) &&
        (best === undefined || candidate.load < best.load)
      ) {
        best = candidate;
      }
    }
    return best;
  }

  #selectRandom(request: PlacementRequest): T | undefined {
    const canUse = this.#createFilter(request);
    const usable = [...this.#getUsable(request.service)].filter(canUse);
    return usable[Math.floor(Math.random() * usable.length)];
  }

  /**
   * Leaves out the home, the agent that refused, and agents that the task may
   * not probe. The home is used all the same when no other agent remains.
   */
  #createFilter(request: PlacementRequest): (candidate: T) => boolean {
    const usable = this.#getUsable(request.service);
    const { homeId, avoidId, repeatable } = request;
    const { canProbe } = this.#options;
    if (usable.size <= 1) {
      return (candidate) => usable.has(candidate);
    }
    // At most half of the agents are ejected, so of more than four one remains.
    let others = usable.size;
    for (const { member: { id } } of usable.size <= 4 ? usable : []) {
      const isLeftOut = id === homeId || id === avoidId ||
        !canProbe(id, repeatable);
      others -= isLeftOut ? 1 : 0;
    }
    const excludedHome = others > 0 ? homeId : undefined;
    return (candidate) => {
      const { id } = candidate.member;
      return usable.has(candidate) && id !== avoidId && id !== excludedHome &&
        canProbe(id, repeatable);
    };
  }

  #getUsable(service: string): ReadonlySet<T> {
    let usable = this.#usable.get(service);
    if (usable === undefined) {
      const { getOfferingAgents: getOffering, canPlaceOn: canPlace } =
        this.#options;
      usable = new Set(
        getOffering(service).filter((candidate) =>
          candidate.isUp && canPlace(candidate.member.id)
        ),
      );
      this.#usable.set(service, usable);
    }
    return usable;
  }
}
