import type { Route } from "../batch/mod.ts";
import type { ConfigDescription } from "./config_description.ts";
import type { ConfigFinding } from "./config_finding.ts";

/** Finds limits of which one keeps another one from taking effect. */
export function findLimitConflicts(
  { routes, limits }: ConfigDescription,
): ConfigFinding[] {
  return [
    ...findRequestConflicts(limits),
    ...routes.flatMap((route, index) => findRouteConflicts(route, index)),
  ];
}

function findRequestConflicts(
  limits: ConfigDescription["limits"],
): ConfigFinding[] {
  const findings: ConfigFinding[] = [];
  const { maxBodyBytes, requestMemoryBytes = Infinity } = limits;
  const { maxHeaderBytes, headerTimeoutMs, idleTimeoutMs } = limits;
  if (maxBodyBytes > requestMemoryBytes) {
    findings.push({
      ...{ severity: "error", path: ["limits", "maxBodyBytes"] },
      message:
        `${maxBodyBytes} bytes are above the ${requestMemoryBytes} bytes that a process has for all requests`,
    });
  }
  if (maxHeaderBytes !== undefined && maxHeaderBytes > maxBodyBytes) {
    findings.push({
      ...{ severity: "warning", path: ["limits", "maxHeaderBytes"] },
      message:
        `${maxHeaderBytes} bytes are above the largest body of ${maxBodyBytes} bytes`,
    });
  }
  if (
    headerTimeoutMs !== undefined && idleTimeoutMs !== undefined &&
    idleTimeoutMs < headerTimeoutMs
  ) {
    findings.push({
      ...{ severity: "error", path: ["limits", "idleTimeoutMs"] },
      message:
        `${idleTimeoutMs} ms are below the ${headerTimeoutMs} ms for the headers of a request`,
    });
  }
  return findings;
}

function findRouteConflicts(route: Route, index: number): ConfigFinding[] {
  const { timeoutMs, latencyTargetMs, stretch, maxAttempts } = route;
  const findings: ConfigFinding[] = [];
  const add = (
    severity: ConfigFinding["severity"],
    name: keyof Route,
    message: string,
  ) => findings.push({ severity, path: ["routes", index, name], message });
  if (!(timeoutMs > 0)) {
    add("error", "timeoutMs", `${timeoutMs} ms leave a request no time`);
  } else if (timeoutMs < latencyTargetMs) {
    const message =
      `${timeoutMs} ms are below the latency target of ${latencyTargetMs} ms`;
    add("error", "timeoutMs", message);
  } else if (maxAttempts > 1 && timeoutMs < maxAttempts * latencyTargetMs) {
    const message =
      `${timeoutMs} ms are too short for ${maxAttempts} attempts of ${latencyTargetMs} ms each`;
    add("warning", "timeoutMs", message);
  }
  if (latencyTargetMs < 0) {
    add("error", "latencyTargetMs", `${latencyTargetMs} ms can't be met`);
  }
  if (stretch < 1) {
    const message = `${stretch} asks for an answer before the work can end`;
    add("error", "stretch", message);
  }
  return findings;
}
