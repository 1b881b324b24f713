import {
  formatOperatorConfig,
  formatZoneRecord,
  type StoreStandIn,
} from "../../platform/stand_in/mod.ts";
import { SOAK_LIMITS } from "./soak_limits.ts";
import type { SoakOracle } from "./soak_oracle.ts";
import type { SoakRoute } from "./soak_route.ts";

/**
 * Time after which every undisturbed entry serves a published route, in
 * milliseconds; the platform's bound.
 */
const APPLY_MS = 2_000;

const HOST = "soak.example";

export interface SoakOperatorOptions {
  store: StoreStandIn;
  oracle: SoakOracle;
  services: readonly string[];
}

/** The operator: publishes routes, and takes zones out and in. */
export class SoakOperator {
  readonly #options: SoakOperatorOptions;
  readonly #routes: (SoakRoute & { publishedAt: number })[] = [];
  readonly #outCounts = new Map<string, number>();
  #version = 0;

  constructor(options: SoakOperatorOptions) {
    this.#options = options;
  }

  /** Gets the routes that every undisturbed entry serves by now. */
  getServedRoutes(): SoakRoute[] {
    const before = performance.now() - APPLY_MS;
    const served = this.#routes.filter(({ publishedAt }) =>
      publishedAt <= before
    );
    return served.length > 0 ? served : this.#routes.slice(0, 1);
  }

  /** Publishes a version with one more route for each service. */
  changeRoutes(): void {
    const { store, services } = this.#options;
    // Versions increase in uneven steps.
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
        maxAttempts: SOAK_LIMITS.maxAttempts,
      })),
    });
    store.publish(key, value);
  }

  /** Takes a zone out, or puts it in when nobody else wants it out. */
  setZoneState(zone: string, state: "in" | "out"): void {
    const { store, oracle } = this.#options;
    const change = state === "out" ? 1 : -1;
    const count = (this.#outCounts.get(zone) ?? 0) + change;
    this.#outCounts.set(zone, count);
    const isFirst = state === "out" && count === 1;
    const isLast = state === "in" && count === 0;
    if (isFirst || isLast) {
      const { key, value } = formatZoneRecord(zone, state);
      store.publish(key, value);
      oracle.recordZoneState(zone, state);
    }
  }
}
