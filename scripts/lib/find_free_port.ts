import { createServer } from "node:net";

/** Ports already returned; a process may not listen on its port yet. */
const usedPorts = new Set<number>();

/**
 * Finds a port that nothing listens on. It lies below the kernel's ephemeral
 * port range, so that no outgoing connection takes it before the process
 * listens.
 */
export function findFreePort(): Promise<number> {
  // A returned port is free until its process listens. Each process takes its
  // ports from one of 20 ranges, chosen by its pid, to avoid those of others.
  const rangeStart = 10_000 + process.pid % 20 * 1_000;
  const port = rangeStart + Math.floor(Math.random() * 1_000);
  if (usedPorts.has(port)) {
    return findFreePort();
  }
  usedPorts.add(port);
  return new Promise((resolve) => {
    const server = createServer();
    server.once("error", () => resolve(findFreePort()));
    server.listen(port, "127.0.0.1", () => server.close(() => resolve(port)));
  });
}
