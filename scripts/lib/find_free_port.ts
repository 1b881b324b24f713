import { createServer } from "node:net";

/** Ports already returned; a process may not listen on its port yet. */
const usedPorts = new Set<number>();

/**
 * The only port of the ranges to which `fetch` refuses to send requests, since
 * it belongs to another protocol.
 */
const PORT_REFUSED_BY_FETCH = 10_080;

/** Number of ports in the range of one process. */
const PORTS_PER_PROCESS = 1_000;

export interface FindFreePortOptions {
  /** First port of the range. */
  firstPort?: number;
  /** Number of ports in the range. */
  count?: number;
}

/**
 * Finds a port that nothing listens on. It lies below the kernel's ephemeral
 * port range, so that no outgoing connection takes it before the process
 * listens.
 */
export function findFreePort(
  options: FindFreePortOptions = {},
): Promise<number> {
  // A returned port is free until its process listens. Each process takes its
  // ports from one of 20 ranges, chosen by its pid, to avoid those of others.
  const {
    firstPort = 10_000 + process.pid % 20 * PORTS_PER_PROCESS,
    count = PORTS_PER_PROCESS,
  } = options;
  const port = firstPort + Math.floor(Math.random() * count);
  if (usedPorts.has(port) || port === PORT_REFUSED_BY_FETCH) {
    return findFreePort(options);
  }
  usedPorts.add(port);
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(findFreePort(options)));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(port)));
  });
}
