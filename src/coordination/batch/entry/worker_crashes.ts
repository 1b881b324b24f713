import {
  CrashHistory,
  type Route,
  RouteContainment,
  type WorkerCrash,
  type WorkerLoad,
} from "../../../state/batch/mod.ts";
import type { Metrics } from "../../../state/metrics/mod.ts";
import type { WorkerCrashReport } from "../../messages/mod.ts";
import type { EventLog } from "../../ports/mod.ts";
import type { BatchAgentLink } from "./batch_agent_link.ts";

export interface WorkerCrashesOptions {
  log: EventLog;
  metrics: Metrics;
  /** Gets the links to the agents that this entry knows, by their names. */
  getLinks: () => ReadonlyMap<string, BatchAgentLink>;
  getRoutes: () => readonly Route[];
}

/**
 * The crashes of workers that agents have reported to this entry, and the routes
 * that are confined to some workers because of them.
 */
export class WorkerCrashes {
  readonly history = new CrashHistory();
  readonly #options: WorkerCrashesOptions;
  readonly #containment = new RouteContainment({
    onRelease: (route) => this.#options.log.record("route_released", { route }),
  });

  constructor(options: WorkerCrashesOptions) {
    this.#options = options;
  }

  /** Returns whether a route may use only some of the workers. */
  isConfined(routeName: string): boolean {
    return this.#containment.getAgents(routeName, performance.now()) !==
      undefined;
  }

  /** Returns the loads of the workers that a route may use. */
  filterLoads(
    routeName: string,
    loads: readonly WorkerLoad[],
  ): readonly WorkerLoad[] {
    return this.#containment.filterLoads(routeName, loads, performance.now());
  }

  /** Records a crash, and confines the routes that have caused several. */
  handleReport(agentId: string, report: WorkerCrashReport): void {
    const at = performance.now() - report.ageMs;
    const { id, runs } = report;
    const crash = this.history.record({ id, agentId, at, runs });
    if (crash.runs.length === 0) {
      return;
    }
    this.#options.log.record("worker_crashed", {
      agent: agentId,
      crash: id,
      ageMs: report.ageMs,
      runs: crash.runs.length,
      suspects: crash.runs.filter(({ earlierCrashes }) => earlierCrashes > 0)
        .map(({ task, route }) => `${task} of ${route}`),
    });
    this.#confineRoutes(crash);
  }

  #confineRoutes(crash: WorkerCrash): void {
    const links = [...this.#options.getLinks().values()];
    const service = this.#options.getLinks().get(crash.agentId)?.lastService;
    // An agent that has not told its service yet may have the same one.
    const agentCount =
      links.filter(({ lastService }) =>
        lastService === service || lastService === ""
      ).length;
    const routes = this.#containment.record({
      crash,
      history: this.history,
      agentCount,
      sharesWorkers: (route) => this.#sharesWorkers(route),
    });
    for (const route of routes) {
      const agents = this.#containment.getAgents(route, crash.at) ?? [];
      this.#options.metrics.incrementCounter("routes_confined", 1);
      this.#options.log.record("route_confined", {
        route,
        crash: crash.id,
        agentCount,
        agents: [...agents],
      });
    }
  }

  /** Returns whether another route has the same service. */
  #sharesWorkers(routeName: string): boolean {
    const routes = this.#options.getRoutes();
    const service = routes.find(({ name }) => name === routeName)?.service;
    return routes.some((route) =>
      route.name !== routeName && route.service === service
    );
  }
}
