import { type ChildProcess, spawn } from "node:child_process";
import { mkdtempSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";

/** Time that a process may take to stop, in milliseconds. */
const STOP_TIMEOUT_MS = 30_000;

export interface ClusterOptions {
  /** Availability zone of each entry. */
  entryZones: string[];
  /** Availability zone of each agent. */
  agentZones: string[];
  services?: string[];
  slots?: number;
  /** Speed of each upstream; 1 where none is given. */
  speeds?: number[];
}

/** A process of the cluster and where it listens. */
export interface ClusterProcess {
  readonly name: string;
  readonly zone: string;
  readonly httpAddress: string;
  /** Agents only: the address of the upstream beside it. */
  readonly upstreamAddress?: string;
  child: ChildProcess;
}

/**
 * A cluster of separate local processes: the log stand-in, entries, and agents with an upstream stand-in
 * beside each. For development scripts, tests and benchmarks.
 */
export class Cluster {
  readonly entries: ClusterProcess[] = [];
  readonly agents: ClusterProcess[] = [];
  readonly upstreams: ClusterProcess[] = [];
  logAddress = "";
  #log: ChildProcess | undefined;
  readonly #options: ClusterOptions;
  readonly #folder = mkdtempSync(join(tmpdir(), "cranberrybank-"));

  constructor(options: ClusterOptions) {
    this.#options = options;
  }

  /** Gets the folder with the settings files and logs of the processes. */
  get folder(): string {
    return this.#folder;
  }

  /** Starts all processes and waits until they are ready. */
  async start(): Promise<void> {
    const logPort = await findFreePort();
    this.logAddress = `127.0.0.1:${logPort}`;
    this.#log = startBinary("log_stand_in", ["--port", String(logPort)]);
    await waitForHttp(`http://${this.logAddress}/v1/records?from=1`);
    for (const [index, zone] of this.#options.entryZones.entries()) {
      this.entries.push(await this.#startEntry(`entry-${index + 1}`, zone));
    }
    for (const [index, zone] of this.#options.agentZones.entries()) {
      await this.#startAgent(index, zone);
    }
    for (const { httpAddress } of [...this.entries, ...this.agents]) {
      await waitForHttp(`http://${httpAddress}/readyz`);
    }
  }

  /** Stops all processes gracefully, the log last. */
  async stop(): Promise<void> {
    await Promise.all(
      [...this.entries, ...this.agents].map(({ child }) => stopChild(child)),
    );
    await Promise.all(this.upstreams.map(({ child }) => stopChild(child)));
    if (this.#log !== undefined) {
      await stopChild(this.#log);
    }
  }

  async #startEntry(name: string, zone: string): Promise<ClusterProcess> {
    const port = await findFreePort();
    const path = this.#writeSettings(name, { zone, httpPort: port });
    return {
      name,
      zone,
      httpAddress: `127.0.0.1:${port}`,
      child: startBinary("entry", [path]),
    };
  }

  async #startAgent(index: number, zone: string): Promise<void> {
    const { services = ["echo"], slots = 8, speeds = [] } = this.#options;
    const name = `agent-${index + 1}`;
    const port = await findFreePort();
    const upstreamPort = await findFreePort();
    const httpAddress = `127.0.0.1:${port}`;
    const upstreamAddress = `127.0.0.1:${upstreamPort}`;
    const path = this.#writeSettings(name, {
      zone,
      httpPort: port,
      upstreamAddress,
    });
    const child = startBinary("agent", [path]);
    this.agents.push({ name, zone, httpAddress, upstreamAddress, child });
    const upstream = startBinary("upstream_stand_in", [
      ...["--port", String(upstreamPort), "--agent", httpAddress],
      ...["--services", services.join(","), "--slots", String(slots)],
      ...["--speed", String(speeds[index] ?? 1)],
    ]);
    this.upstreams.push({
      name,
      zone,
      httpAddress: upstreamAddress,
      child: upstream,
    });
  }

  #writeSettings(name: string, settings: Record<string, unknown>): string {
    const path = join(this.#folder, `${name}.json`);
    const all = {
      name,
      host: "127.0.0.1",
      peerPort: 0,
      logAddress: this.logAddress,
      ...settings,
    };
    writeFileSync(path, JSON.stringify(all, undefined, 2));
    return path;
  }
}

function startBinary(name: string, args: string[]): ChildProcess {
  const path = new URL(`../../src/bin/${name}.js`, import.meta.url).pathname;
  return spawn(process.execPath, [path, ...args], {
    stdio: ["ignore", "ignore", "inherit"],
  });
}

async function stopChild(child: ChildProcess): Promise<void> {
  if (child.exitCode !== null || child.signalCode !== null) {
    return;
  }
  const exited = new Promise<void>((resolve) =>
    child.once("exit", () => resolve())
  );
  child.kill("SIGTERM");
  const timer = setTimeout(() => child.kill("SIGKILL"), STOP_TIMEOUT_MS);
  await exited;
  clearTimeout(timer);
}

async function waitForHttp(url: string): Promise<void> {
  for (let tries = 0; tries < 300; tries++) {
    try {
      const response = await fetch(url);
      await response.arrayBuffer();
      if (response.ok) {
        return;
      }
    } catch {
      // The process isn't up yet.
    }
    await new Promise((resolve) => setTimeout(resolve, 50));
  }
  throw new Error(`${url} wasn't ready in time`);
}

function findFreePort(): Promise<number> {
  return new Promise((resolve) => {
    const server = createServer();
    server.listen(0, "127.0.0.1", () => {
      const address = server.address();
      server.close(() =>
        resolve(typeof address === "object" ? address?.port ?? 0 : 0)
      );
    });
  });
}
