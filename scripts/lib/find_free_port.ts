import { createServer } from "node:net";

/** Ports that were handed out; a process may not listen on its port yet. */
const usedPorts = new Set<number>();

/**
 * Finds a port that nothing listens on. It lies below the range from which the
 * kernel takes the ports of outgoing connections, so that none of these takes
 * it before the process listens.
 */
export function findFreePort(): Promise<number> {
  // Clusters of other processes take theirs from other slices: a port is free
  // until its process listens.
  const slice = 10_000 + process.pid % 20 * 1_000;
  const port = slice + Math.floor(Math.random() * 1_000);
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
