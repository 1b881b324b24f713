import type { OperatorChange } from "./operator_change.ts";
import type { OperatorConfig } from "./operator_config.ts";
import type { Route } from "./route.ts";

interface OperatorStateData {
  config: OperatorConfig | undefined;
  zonesOut: string[];
}

/**
 * What the operator has published: the newest configuration and the zones that
 * are out of service. The state only moves forward: an older position of the
 * log or an older version changes nothing.
 */
export class OperatorState {
  #offset = 0;
  #config: OperatorConfig | undefined;
  #zonesOut = new Set<string>();
  #routesByHost = new Map<string, Route[]>();

  /** Position in the operator's log up to which the state is complete. */
  get offset(): number {
    return this.#offset;
  }

  get config(): OperatorConfig | undefined {
    return this.#config;
  }

  get zonesOut(): ReadonlySet<string> {
    return this.#zonesOut;
  }

  /** Is the zone out of service? */
  isZoneOut(zone: string): boolean {
    return this.#zonesOut.has(zone);
  }

  /**
   * Applies the changes that follow the state, in order.
   * @param changes - Changes read from the log.
   * @param end - Position of the log after them.
   */
  applyChanges(changes: readonly OperatorChange[], end: number): void {
    for (const change of changes) {
      this.#apply(change);
    }
    this.#offset = Math.max(this.#offset, end);
  }

  /**
   * Replaces the zones that are out by those of the newest records, after a
   * part of the log was lost.
   */
  applyCompactedChanges(changes: readonly OperatorChange[], end: number): void {
    if (end >= this.#offset) {
      this.#zonesOut = new Set();
      this.applyChanges(changes, end);
    }
  }

  /** Gets the state as JSON, for another process. */
  format(): string {
    const data: OperatorStateData = {
      config: this.#config,
      zonesOut: [...this.#zonesOut],
    };
    return JSON.stringify(data);
  }

  /**
   * Adopts the state that another process formatted, if it is newer.
   * @returns Whether it was newer.
   */
  mergeSnapshot(text: string, offset: number): boolean {
    if (offset <= this.#offset) {
      return false;
    }
    const data = JSON.parse(text) as OperatorStateData;
    if (data.config !== undefined) {
      this.#apply({ kind: "config", config: data.config });
    }
    this.#zonesOut = new Set(data.zonesOut);
    this.#offset = offset;
    return true;
  }

  /**
   * Finds the route of a host with the longest prefix that the path begins
   * with.
   */
  findRoute(host: string, path: string): Route | undefined {
    return this.#routesByHost.get(host)?.find((route) =>
      path.startsWith(route.pathPrefix)
    );
  }

  #apply(change: OperatorChange): void {
    switch (change.kind) {
      case "config":
        if (change.config.version > (this.#config?.version ?? -1)) {
          this.#config = change.config;
          this.#routesByHost = createRouteIndex(change.config.routes);
        }
        return;
      case "zone_out":
        this.#zonesOut.add(change.zone);
        return;
      case "zone_in":
        this.#zonesOut.delete(change.zone);
        return;
      case "other":
        return;
      default:
        change satisfies never;
    }
  }
}

/** Creates the index of the routes by host, the longest prefix first. */
function createRouteIndex(routes: readonly Route[]): Map<string, Route[]> {
  const index = new Map<string, Route[]>();
  for (const route of routes) {
    const sameHost = index.get(route.host) ?? [];
    sameHost.push(route);
    index.set(route.host, sameHost);
  }
  for (const sameHost of index.values()) {
    sameHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return index;
}
