import {
  formatOperatorConfig,
  formatZoneRecord,
  type StoreStandIn,
} from "../../platform/stand_in/mod.ts";
import { SOAK_LIMITS } from "./soak_limits.ts";
import type { SoakOracle } from "./soak_oracle.ts";
import type { SoakRoute } from "./soak_route.ts";

/**
 * Time after which every undisturbed entry serves a published route; the bound
 * that the platform states.
 */
const ROUTE_APPLY_MS = 2_000;

const HOST = "soak.example";

export interface SoakOperatorOptions {
  store: StoreStandIn;
  oracle: SoakOracle;
  services: readonly string[];
}

/** Simulates the operator, who publishes routes and the state of zones. */
export class SoakOperator {
  readonly #options: SoakOperatorOptions;
  readonly #routes: (SoakRoute & { publishedAt: number })[] = [];
  readonly #zoneOutCounts = new Map<string, number>();
  #version = 0;

  constructor(options: SoakOperatorOptions) {
    this.#options = options;
  }

  /**
   * Gets the routes that every undisturbed entry serves by now. Before any route
   * has been published for long enough, gets the first one, so that clients have
   * a route to send to.
   */
  getServedRoutes(): SoakRoute[] {
    const publishedUntil = performance.now() - ROUTE_APPLY_MS;
    const served = this.#routes.filter(({ publishedAt }) =>
      publishedAt <= publishedUntil
    );
    return served.length > 0 ? served : this.#routes.slice(0, 1);
  }

  /** Publishes a configuration with one more route for each service. */
  changeRoutes(): void {
    const { store, services } = this.#options;
    // Versions of the configuration increase, but not by one.
    this.#version += 3;
    for (const service of services) {
      this.#routes.push({
        host: HOST,
        pathPrefix: `/v${this.#version}/${service}/`,
        service,
        publishedAt: performance.now(),
      });
    }
    const { key, value } = formatOperatorConfig({
      version: this.#version,
      routes: this.#routes.map((route, number) => ({
        name: `route-${number}`,
        host: route.host,
        pathPrefix: route.pathPrefix,
        service: route.service,
        priority: number % 3,
        timeoutMs: 1_500,
        stretch: 1.6,
        latencyTargetMs: 60,
        maxLateness: 4,
        maxAttempts: SOAK_LIMITS.maxAttempts,
      })),
    });
    store.publish(key, value);
  }

  /**
   * Takes a zone out of service, or puts it back when each earlier call that
   * took it out has been reverted.
   */
  setZoneState(zone: string, state: "in" | "out"): void {
    const { store, oracle } = this.#options;
    const countChange = state === "out" ? 1 : -1;
    const count = (this.#zoneOutCounts.get(zone) ?? 0) + countChange;
    this.#zoneOutCounts.set(zone, count);
    const isTakenOut = state === "out" && count === 1;
    const isPutBack = state === "in" && count === 0;
    if (isTakenOut || isPutBack) {
      const { key, value } = formatZoneRecord(zone, state);
      store.publish(key, value);
      oracle.recordZoneState(zone, state);
    }
  }
}
