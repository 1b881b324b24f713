import type { Route } from "../batch/mod.ts";
import type { ConfigFinding } from "./config_finding.ts";

/**
 * Finds routes that no request can match, and those of which a longer prefix takes ids.
 * A request gets the route of its host with the longest matching prefix, and the rest of
 * its path is the id of its job; of two routes with the same prefix, the first one.
 */
export function findHiddenRoutes(routes: readonly Route[]): ConfigFinding[] {
  return routes.flatMap((route, index) => [
    ...findUnmatchable(route, index),
    ...findHiding(routes, route, index),
  ]);
}

function findUnmatchable(
  { host, pathPrefix }: Route,
  index: number,
): ConfigFinding[] {
  const findings: ConfigFinding[] = [];
  if (host === "" || host.includes(":") || /\s/.test(host)) {
    findings.push({
      ...{ severity: "error", path: ["routes", index, "host"] },
      message:
        `never matches: hosts are compared without a port, and "${host}" is no name`,
    });
  }
  if (!pathPrefix.startsWith("/") || /[?#\s]/.test(pathPrefix)) {
    findings.push({
      ...{ severity: "error", path: ["routes", index, "pathPrefix"] },
      message: `never matches: "${pathPrefix}" is not the beginning of a path`,
    });
  }
  return findings;
}

function findHiding(
  routes: readonly Route[],
  { host, pathPrefix }: Route,
  index: number,
): ConfigFinding[] {
  const path = ["routes", index, "pathPrefix"];
  const first = routes.findIndex((other) =>
    other.host === host && other.pathPrefix === pathPrefix
  );
  if (first < index) {
    const message = `never matches: route ${first} ("${
      routes[first]?.name
    }") has the same host and prefix`;
    return [{ severity: "error", path, message }];
  }
  return routes.flatMap((other, otherIndex) => {
    const rest = other.pathPrefix.slice(pathPrefix.length);
    const takesIds = other.host === host && rest !== "" &&
      other.pathPrefix.startsWith(pathPrefix) && !rest.includes("/");
    const message =
      `route ${otherIndex} ("${other.name}") takes the requests whose id begins with "${rest}"`;
    return takesIds ? [{ severity: "warning" as const, path, message }] : [];
  });
}
