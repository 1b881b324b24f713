import { expect } from "chai";
import type { Route } from "../../../src/state/batch/mod.ts";
import {
  checkConfigDescription,
  type ConfigDescription,
  getCheckExitCode,
} from "../../../src/state/config_check/mod.ts";
import { createRoute } from "../../lib/create_route.ts";

const LIMITS: ConfigDescription["limits"] = {
  ...{ maxBodyBytes: 100_000, maxHeaderBytes: 8_000 },
  ...{ headerTimeoutMs: 2_000, idleTimeoutMs: 9_000 },
  requestMemoryBytes: 1_000_000,
};

const FIRST = createRoute({ name: "a", pathPrefix: "/a/" });

function check(
  { routes = [FIRST], services = ["s"], limits = {} }: {
    routes?: Route[];
    services?: string[];
    limits?: Partial<ConfigDescription["limits"]>;
  },
): string[] {
  const description = { routes, services, limits: { ...LIMITS, ...limits } };
  return checkConfigDescription(description).map(({ severity, path }) =>
    `${severity} ${path.join(".")}`
  );
}

function checkSecond(changes: Partial<Route>): string[] {
  const second = createRoute({ name: "b", pathPrefix: "/b/", ...changes });
  return check({ routes: [FIRST, second] });
}

describe("checkConfigDescription", () => {
  it("finds nothing in a sound configuration, also with nested prefixes", () => {
    // Guards against findings in what works, which have operators ignore the check.
    expect(check({})).to.deep.equal([]);
    expect(checkSecond({ pathPrefix: "/" })).to.deep.equal([]);
    expect(checkSecond({ pathPrefix: "/a/b/" })).to.deep.equal([]);
    expect(checkSecond({ pathPrefix: "/a/", host: "other" })).to.deep.equal([]);
    expect(checkSecond({ pathPrefix: "/a/7", host: "other" })).to.deep.equal(
      [],
    );
    expect(checkSecond({ timeoutMs: 2_000 })).to.deep.equal([]);
    const timeoutMs = 1_000;
    expect(checkSecond({ timeoutMs, maxAttempts: 1 })).to.deep.equal([]);
    expect(check({ limits: { idleTimeoutMs: 2_000 } })).to.deep.equal([]);
  });

  // Each guards against a mistake that is only seen in refused or missing requests.
  const routeMistakes: [string, Partial<Route>, string[]][] = [
    ["the prefix of an earlier route", { pathPrefix: "/a/" }, [
      "error routes.1.pathPrefix",
    ]],
    ["a prefix that takes ids of another route", { pathPrefix: "/a/7" }, [
      "warning routes.0.pathPrefix",
    ]],
    ["a prefix that begins no path", { pathPrefix: "b/" }, [
      "error routes.1.pathPrefix",
    ]],
    ["a host with a port", { host: "h:80" }, ["error routes.1.host"]],
    ["an unknown service", { service: "z" }, ["error routes.1.service"]],
    ["the name of another route", { name: "a" }, ["warning routes.1.name"]],
    ["a timeout below the latency target", { timeoutMs: 999 }, [
      "error routes.1.timeoutMs",
    ]],
    ["no time", { timeoutMs: 0 }, ["error routes.1.timeoutMs"]],
    ["a timeout below that of its attempts", { timeoutMs: 1_999 }, [
      "warning routes.1.timeoutMs",
    ]],
    ["a stretch below 1", { stretch: 0.9 }, ["error routes.1.stretch"]],
    ["a negative latency target", { latencyTargetMs: -1 }, [
      "error routes.1.latencyTargetMs",
    ]],
  ];
  for (const [name, changes, expected] of routeMistakes) {
    it(`finds a route with ${name}`, () => {
      expect(checkSecond(changes)).to.deep.equal(expected);
    });
  }

  it("finds services that no route names and names in use twice", () => {
    // Guards against a service that is paid for and gets no requests.
    expect(check({ services: ["s", "t", "t"] })).to.deep.equal([
      "warning services.2.name",
      "warning services.1.name",
      "warning services.2.name",
    ]);
  });

  it("finds limits that contradict each other", () => {
    // Guards against limits that never take effect, or that a process can't grant.
    expect(check({ limits: { requestMemoryBytes: 99_999 } })).to.deep.equal([
      "error limits.maxBodyBytes",
    ]);
    expect(check({ limits: { maxBodyBytes: 7_999 } })).to.deep.equal([
      "warning limits.maxHeaderBytes",
    ]);
    expect(check({ limits: { idleTimeoutMs: 1_999 } })).to.deep.equal([
      "error limits.idleTimeoutMs",
    ]);
  });

  it("fails a script for errors, and for warnings only if it is strict", () => {
    // Guards against a deployment that is stopped by a warning, or not by an error.
    const error = { severity: "error", path: [], message: "" } as const;
    const warning = { ...error, severity: "warning" } as const;
    expect(getCheckExitCode([], { strict: true })).to.equal(0);
    expect(getCheckExitCode([warning], { strict: false })).to.equal(0);
    expect(getCheckExitCode([warning], { strict: true })).to.equal(1);
    expect(getCheckExitCode([warning, error], { strict: false })).to.equal(2);
  });
});
