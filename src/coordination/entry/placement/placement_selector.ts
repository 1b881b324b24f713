import type { Candidate } from "./candidate.ts";
import type { PlacementPolicy } from "./placement_policy.ts";
import type { PlacementRequest } from "./placement_request.ts";
import type { RunTimes } from "./run_times.ts";
import { SlowWorkerGuard } from "./slow_worker_guard.ts";

export interface PlacementSelectorOptions<T extends Candidate> {
  getPlacementPolicy: () => PlacementPolicy;
  /** Gets the agents that offer a service and aren't out of service. */
  getOfferingAgents: (service: string) => readonly T[];
  /** Gets the agents with credits, the least recently used first. */
  getAgentsWithCredits: () => Iterable<T>;
  canPlaceOn: (agentId: string) => boolean;
  /** Returns whether a task may probe an agent that was ejected. */
  canProbe: (agentId: string, isRepeatable: boolean) => boolean;
  runTimes: RunTimes;
  /** Gets the number of waiting tasks of a service. */
  getWaitingCount: (service: string) => number;
  /**
   * Called when a task that was held back for a faster agent should be tried
   * again.
   */
  onHoldExpired: () => void;
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/** Selects the agent for a task. */
export class PlacementSelector<T extends Candidate> {
  readonly #options: PlacementSelectorOptions<T>;
  readonly #slowWorkerGuard: SlowWorkerGuard<T>;
  readonly #usableByService = new Map<string, ReadonlySet<T>>();

  constructor(options: PlacementSelectorOptions<T>) {
    this.#options = options;
    this.#slowWorkerGuard = new SlowWorkerGuard(options);
  }

  /**
   * Clears the cached sets of usable agents, after links, health or the view
   * have changed.
   */
  invalidateUsable(): void {
    this.#usableByService.clear();
  }

  /** Stops the timer. */
  stop(): void {
    this.#slowWorkerGuard.stop();
  }

  /**
   * Returns whether some agent can take a task of the service. Agents that only
   * individual tasks exclude, such as their submission's home, are counted.
   */
  hasAvailableAgent(service: string): boolean {
    const usable = this.#getUsable(service);
    const policy = this.#options.getPlacementPolicy();
    switch (policy.type) {
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
        return policy satisfies never;
    }
  }

  /** Selects an agent; returns undefined when the task should wait. */
  select(request: PlacementRequest): T | undefined {
    const policy = this.#options.getPlacementPolicy();
    switch (policy.type) {
      case "credits":
        return this.#selectByCredits(request, policy);
      case "least_loaded":
        return this.#selectLeastLoaded(request, policy.maxCandidates);
      case "random":
        return this.#selectRandom(request);
      default:
        return policy satisfies never;
    }
  }

  #selectByCredits(
    request: PlacementRequest,
    policy: PlacementPolicy & { type: "credits" },
  ): T | undefined {
    const best = this.#findBest(request, policy);
    if (best === undefined || request.isDequeued) {
      return best;
    }
    const usable = this.#getUsable(request.service);
    const { slowFactor } = policy;
    return this.#slowWorkerGuard.canStart(best, request, { usable, slowFactor })
      ? best
      : undefined;
  }

  /**
   * Finds the agent that was used least recently among those whose run time
   * counts as equal to the shortest one.
   */
  #findBest(
    request: PlacementRequest,
    policy: PlacementPolicy & { type: "credits" },
  ): T | undefined {
    const { getAgentsWithCredits, runTimes } = this.#options;
    const canUse = this.#createFilter(request);
    const meanMs = runTimes.getMean(request.runTimeKey) ?? 0;
    const candidates: { candidate: T; runMs: number }[] = [];
    let shortestMs = Infinity;
    for (const candidate of getAgentsWithCredits()) {
      if (canUse(candidate)) {
        // An agent whose run time isn't known yet gets one task at a time:
        // while it runs one, twice the mean is assumed.
        const runMs =
          runTimes.getAgentMean(request.runTimeKey, candidate.member.id) ??
            (candidate.inFlight === 0 ? meanMs : 2 * meanMs);
        shortestMs = Math.min(shortestMs, runMs);
        candidates.push({ candidate, runMs });
      }
      if (candidates.length >= policy.maxCandidates) {
        break;
      }
    }
    const maxRunMs = shortestMs * policy.equalFactor;
    return candidates.find(({ runMs }) => runMs <= maxRunMs)?.candidate;
  }

  #selectLeastLoaded(
    request: PlacementRequest,
    maxCandidates: number,
  ): T | undefined {
    const canUse = this.#createFilter(request);
    const usable = [...this.#getUsable(request.service)];
    const start = Math.floor(Math.random() * usable.length);
    let best: T | undefined;
    for (let n = 0; n < Math.min(maxCandidates, usable.length); n++) {
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
   * Creates a filter that excludes the submission's home, the agent of the
   * previous attempt, and agents that the task may not probe. The home is
   * included nevertheless when no other agent remains.
   */
  #createFilter(request: PlacementRequest): (candidate: T) => boolean {
    const usable = this.#getUsable(request.service);
    const { homeId, avoidId, repeatable } = request;
    const { canProbe } = this.#options;
    if (usable.size <= 1) {
      return (candidate) => usable.has(candidate);
    }
    // At most half of the agents are ejected, so one of more than four remains.
    let otherCount = usable.size;
    for (const { member: { id } } of usable.size <= 4 ? usable : []) {
      const isExcluded = id === homeId || id === avoidId ||
        !canProbe(id, repeatable);
      otherCount -= isExcluded ? 1 : 0;
    }
    const excludedHomeId = otherCount > 0 ? homeId : undefined;
    return (candidate) => {
      const { id } = candidate.member;
      return usable.has(candidate) && id !== avoidId && id !== excludedHomeId &&
        canProbe(id, repeatable);
    };
  }

  #getUsable(service: string): ReadonlySet<T> {
    let usable = this.#usableByService.get(service);
    if (usable === undefined) {
      const { getOfferingAgents, canPlaceOn } = this.#options;
      usable = new Set(
        getOfferingAgents(service).filter((candidate) =>
          candidate.isUp && canPlaceOn(candidate.member.id)
        ),
      );
      this.#usableByService.set(service, usable);
    }
    return usable;
  }
}
