import type { OperatorChange } from "./operator_change.ts";
import type { OperatorConfig } from "./operator_config.ts";
import type { Route } from "./route.ts";

interface OperatorStateData {
  config: OperatorConfig | undefined;
  zonesOut: string[];
}

/**
 * The state that the operator has published: the newest configuration and the
 * zones that are out of service. Configurations and snapshots that are older
 * than the state are ignored.
 */
export class OperatorState {
  #offset = 0;
  #config: OperatorConfig | undefined;
  #zonesOut = new Set<string>();
  #routesByHost = new Map<string, Route[]>();

  /** Gets the position up to which the state includes the operator's log. */
  get offset(): number {
    return this.#offset;
  }

  get config(): OperatorConfig | undefined {
    return this.#config;
  }

  get zonesOut(): ReadonlySet<string> {
    return this.#zonesOut;
  }

  /** Returns whether the zone is out of service. */
  isZoneOut(zone: string): boolean {
    return this.#zonesOut.has(zone);
  }

  /**
   * Applies changes in order, unless the state includes all of them, as it may after a
   * snapshot of a peer.
   * @param changes - Changes read from the log.
   * @param end - Position of the log after them.
   */
  applyChanges(changes: readonly OperatorChange[], end: number): void {
    if (end > this.#offset) {
      changes.forEach((change) => this.#apply(change));
      this.#offset = end;
    }
  }

  /**
   * Replaces the zones that are out of service by those of the newest records,
   * after a part of the log was lost. Records older than the state are ignored.
   */
  applyNewestRecords(changes: readonly OperatorChange[], end: number): void {
    if (end >= this.#offset) {
      this.#zonesOut = new Set();
      changes.forEach((change) => this.#apply(change));
      this.#offset = end;
    }
  }

  /** Gets a snapshot of the state as JSON, for another process. */
  formatSnapshot(): string {
    const data: OperatorStateData = {
      config: this.#config,
      zonesOut: [...this.#zonesOut],
    };
    return JSON.stringify(data);
  }

  /**
   * Adopts a snapshot from another process if it is newer than this state.
   * @returns Whether the snapshot was newer.
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

  /** Finds the route of a host with the longest matching path prefix. */
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

/** Groups the routes by host, those with the longest prefix first. */
function createRouteIndex(routes: readonly Route[]): Map<string, Route[]> {
  const index = new Map<string, Route[]>();
  for (const route of routes) {
    const hostRoutes = index.get(route.host) ?? [];
    hostRoutes.push(route);
    index.set(route.host, hostRoutes);
  }
  for (const hostRoutes of index.values()) {
    hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
  }
  return index;
}
