import type { ConfigDescription } from "./config_description.ts";
import type { ConfigFinding } from "./config_finding.ts";

/** Finds services that only the routes or only the list of services names, and names in use twice. */
export function findServiceProblems(
  { routes, services }: ConfigDescription,
): ConfigFinding[] {
  const findings = findRepeatedNames(
    "routes",
    routes.map(({ name }) => name),
  );
  if (services === undefined) {
    return findings;
  }
  findings.push(...findRepeatedNames("services", services));
  routes.forEach(({ service }, index) => {
    if (!services.includes(service)) {
      const message = `there is no service "${service}"`;
      const path = ["routes", index, "service"];
      findings.push({ severity: "error", path, message });
    }
  });
  services.forEach((name, index) => {
    if (!routes.some(({ service }) => service === name)) {
      const message = `no route names the service "${name}"`;
      const path = ["services", index, "name"];
      findings.push({ severity: "warning", path, message });
    }
  });
  return findings;
}

function findRepeatedNames(
  list: string,
  names: readonly string[],
): ConfigFinding[] {
  return names.flatMap((name, index) => {
    const first = names.indexOf(name);
    const path = [list, index, "name"];
    const message = `"${name}" is also the name of ${list} ${first}`;
    return first === index ? [] : [{ severity: "warning", path, message }];
  });
}
