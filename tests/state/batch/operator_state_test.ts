import { expect } from "chai";
import {
  type OperatorConfig,
  OperatorState,
  type Route,
} from "../../../src/state/batch/mod.ts";

function createRoute(changes: Partial<Route> = {}): Route {
  return {
    name: "r",
    host: "h.example",
    pathPrefix: "/a/",
    service: "s",
    priority: 0,
    timeoutMs: 1_000,
    maxAttempts: 3,
    stretch: 1.6,
    latencyTargetMs: 60,
    maxLateness: 4,
    ...changes,
  };
}

function createConfig(version: number, routes: Route[] = []): OperatorConfig {
  return { version, routes, maxBodyBytes: 1_000 };
}

describe("OperatorState", () => {
  it("keeps the newer configuration when an older one arrives later", () => {
    const state = new OperatorState();
    state.applyChanges([{ kind: "config", config: createConfig(7) }], 1);
    state.applyChanges([{ kind: "config", config: createConfig(5) }], 2);
    expect(state.config?.version).to.equal(7);
  });

  it("returns zones to service that the newest records do not list", () => {
    const state = new OperatorState();
    state.applyChanges([{ kind: "zone_out", zone: "a" }], 1);
    state.applyNewestRecords([{ kind: "zone_out", zone: "b" }], 5);
    expect([...state.zonesOut]).to.deep.equal(["b"]);
  });

  it("ignores newest records that are older than the state", () => {
    const state = new OperatorState();
    state.applyChanges([{ kind: "zone_out", zone: "a" }], 9);
    state.applyNewestRecords([], 5);
    expect(state.isZoneOut("a")).to.equal(true);
  });

  it("adopts the state of a peer only when it is newer", () => {
    const ahead = new OperatorState();
    ahead.applyChanges([
      { kind: "config", config: createConfig(3, [createRoute()]) },
      { kind: "zone_out", zone: "a" },
    ], 4);
    const state = new OperatorState();
    expect(state.mergeSnapshot(ahead.formatSnapshot(), ahead.offset)).to.equal(
      true,
    );
    expect(state.findRoute("h.example", "/a/1")?.name).to.equal("r");
    expect(state.isZoneOut("a")).to.equal(true);
    expect(state.mergeSnapshot(ahead.formatSnapshot(), 3)).to.equal(false);
  });

  it("ignores changes that the state of a peer includes", () => {
    // Guards against a zone that returns to service by a record from before it was taken out.
    const ahead = new OperatorState();
    ahead.applyChanges([{ kind: "zone_out", zone: "a" }], 15);
    const state = new OperatorState();
    state.mergeSnapshot(ahead.formatSnapshot(), ahead.offset);
    state.applyChanges([{ kind: "zone_in", zone: "a" }], 13);
    expect(state.isZoneOut("a")).to.equal(true);
  });

  it("finds the route with the longest prefix", () => {
    const state = new OperatorState();
    const routes = [
      createRoute({ name: "short" }),
      createRoute({ name: "long", pathPrefix: "/a/b/" }),
    ];
    const config = createConfig(1, routes);
    state.applyChanges([{ kind: "config", config }], 1);
    expect(state.findRoute("h.example", "/a/b/1")?.name).to.equal("long");
    expect(state.findRoute("h.example", "/a/c")?.name).to.equal("short");
    expect(state.findRoute("other.example", "/a/c")).to.equal(undefined);
  });
});
