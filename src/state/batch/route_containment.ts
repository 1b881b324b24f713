/**
 * Limits how many workers the tasks of one route can take down. It answers the
 * load on which many requests of a route hold a task that crashes its worker:
 * each one takes down a worker before it is known, and together they take down
 * all of them. Once the tasks of a route have caused the loss of a share of the
 * workers, the route is confined to as many of those until the crashes cease,
 * and the other routes use the rest. A route that has its workers for itself is
 * never confined: it would only lose the rest of them.
 */
import type { CrashHistory } from "./crash_history.ts";
import type { WorkerCrash } from "./worker_crash.ts";
import type { WorkerLoad } from "./worker_load.ts";

/**
 * Time for which a crash counts against its route, in milliseconds. It must be
 * longer than the restart of a worker: a route whose workers are all away
 * causes no crash.
 */
const BLAME_PERIOD_MS = 5_000;

/**
 * Share of the workers that a route may take down before it is confined, and of
 * those that it may use then.
 */
const MAX_CRASHED_SHARE = 0.25;

/**
 * Weight of a crash with a task that was under two crashes at about the same
 * point of its work, as is one that causes them, and with others. It is divided
 * among the blamed tasks.
 */
const CULPRIT_WEIGHT = { samePoint: 1, otherPoint: 0.25 } as const;

/**
 * Total weight of the tasks of a route that must have crashed workers before it
 * is confined. A single task may have met two crashes by chance.
 */
const MIN_CULPRIT_WEIGHT = 2;

interface Blame {
  readonly agentId: string;
  /** Time of the crash on the monotonic clock, in milliseconds. */
  readonly at: number;
  /** The task that caused the crash, or the crash if no task stands out. */
  readonly culprit: string;
  readonly weight: number;
}

export interface RecordCrashOptions {
  crash: WorkerCrash;
  /** Contains the crash already. */
  history: CrashHistory;
  /** Number of agents whose workers serve the routes of the runs. */
  agentCount: number;
  /** Returns whether other routes use the workers of a route. */
  sharesWorkers: (route: string) => boolean;
}

export interface RouteContainmentOptions {
  /** Called when a route may use all workers again. */
  onRelease?: (route: string) => void;
}

export class RouteContainment {
  readonly #options: RouteContainmentOptions;
  readonly #blamesByRoute = new Map<string, Blame[]>();
  readonly #agentsByRoute = new Map<string, ReadonlySet<string>>();

  constructor(options: RouteContainmentOptions = {}) {
    this.#options = options;
  }

  /**
   * Takes note of a crash. The runs whose tasks crash at this point of their work
   * are blamed; if there are none, all whose tasks have been under an earlier
   * crash, with less weight. On an agent to which a route is confined, the route
   * is blamed.
   * @returns The routes that are confined because of this crash.
   */
  record(options: RecordCrashOptions): string[] {
    const { crash, history, sharesWorkers } = options;
    this.#removeOldBlames(crash.at);
    const suspects = crash.runs.filter(({ earlierCrashes, hasStarted }) =>
      earlierCrashes > 0 && hasStarted
    );
    const atSamePoint = suspects.filter(({ task }) =>
      history.hasCrashedAtSamePoint(task)
    );
    const isSamePoint = atSamePoint.length > 0;
    const blamed = isSamePoint ? atSamePoint : suspects;
    const { samePoint, otherPoint } = CULPRIT_WEIGHT;
    const weight = (isSamePoint ? samePoint : otherPoint) / blamed.length;
    for (const { task, route } of blamed) {
      for (const { agentId, at } of history.getCrashes(task)) {
        this.#addBlame(route, { agentId, at, culprit: task, weight });
      }
    }
    this.#blameConfinedRoute(crash);
    const routes = new Set(blamed.map(({ route }) => route));
    return [...routes].filter((route) =>
      sharesWorkers(route) && this.#confine(route, options.agentCount)
    );
  }

  /** Gets the agents that a route is confined to; undefined if it is not. */
  getAgents(route: string, now: number): ReadonlySet<string> | undefined {
    this.#removeOldBlames(now);
    return this.#agentsByRoute.get(route);
  }

  /**
   * Gets the workers on which tasks of a route may be placed. Those of a
   * confined route are left to it as long as there are others.
   */
  filterLoads(
    route: string,
    loads: readonly WorkerLoad[],
    now: number,
  ): readonly WorkerLoad[] {
    const agents = this.getAgents(route, now);
    if (this.#agentsByRoute.size === 0) {
      return loads;
    }
    if (agents !== undefined) {
      return loads.filter(({ agentId }) => agents.has(agentId));
    }
    const others = loads.filter(({ agentId }) =>
      ![...this.#agentsByRoute.values()].some((taken) => taken.has(agentId))
    );
    return others.length > 0 ? others : loads;
  }

  /** Blames a confined route for the crash of a worker that had no other. */
  #blameConfinedRoute({ id, agentId, at, runs }: WorkerCrash): void {
    const [route, ...others] = new Set(runs.map((run) => run.route));
    if (
      route !== undefined && others.length === 0 &&
      this.#agentsByRoute.get(route)?.has(agentId) === true
    ) {
      this.#addBlame(route, { agentId, at, culprit: id, weight: 0 });
    }
  }

  #confine(route: string, agentCount: number): boolean {
    const blames = this.#blamesByRoute.get(route) ?? [];
    const agents = new Set(blames.map(({ agentId }) => agentId));
    const weights = new Map(
      blames.map(({ culprit, weight }) => [culprit, weight]),
    );
    const totalWeight = [...weights.values()].reduce((sum, w) => sum + w, 0);
    if (
      this.#agentsByRoute.has(route) || totalWeight < MIN_CULPRIT_WEIGHT ||
      agents.size < MAX_CRASHED_SHARE * agentCount
    ) {
      return false;
    }
    const maxAgents = Math.ceil(MAX_CRASHED_SHARE * agentCount);
    this.#agentsByRoute.set(route, new Set([...agents].slice(-maxAgents)));
    return true;
  }

  #addBlame(route: string, blame: Blame): void {
    const blames = this.#blamesByRoute.get(route) ?? [];
    const isKnown = blames.some(({ agentId, at }) =>
      agentId === blame.agentId && at === blame.at
    );
    if (!isKnown) {
      this.#blamesByRoute.set(route, [...blames, blame]);
    }
  }

  /** Removes old blames, and releases the routes that have none left. */
  #removeOldBlames(now: number): void {
    for (const [route, blames] of this.#blamesByRoute) {
      const recent = blames.filter(({ at }) => now - at < BLAME_PERIOD_MS);
      if (recent.length > 0) {
        this.#blamesByRoute.set(route, recent);
      } else {
        this.#blamesByRoute.delete(route);
        if (this.#agentsByRoute.delete(route)) {
          this.#options.onRelease?.(route);
        }
      }
    }
  }
}
