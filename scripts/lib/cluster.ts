import { type ChildProcess, spawn } from "node:child_process";
import { existsSync, mkdtempSync, readFileSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type { TaskStart } from "../../src/stand_in/mod.ts";
import { findFreePort } from "./find_free_port.ts";
import { Relay } from "./relay.ts";
import { stopChild } from "./stop_child.ts";
import { waitFor } from "./wait_for.ts";

export interface ClusterOptions {
  /** Availability zone of each entry. */
  entryZones: string[];
  /** Availability zone of each agent. */
  agentZones: string[];
  services?: string[];
  slots?: number;
  /** Speed factor of each upstream; 1 where none is given. */
  speeds?: number[];
  /**
   * Places a relay in front of each process's peer server and between each
   * process and the log.
   */
  hasRelays?: boolean;
  /**
   * Stores the task starts of the upstreams in files, so that those of a killed
   * upstream are still counted.
   */
  persistsTaskStarts?: boolean;
  /** Command-line arguments of the log stand-in. */
  logStandInArgs?: string[];
  /** Settings added to the settings file of every process. */
  processSettings?: Record<string, unknown>;
}

/** A process of the cluster, with its address and its relays. */
export interface ClusterProcess {
  readonly name: string;
  readonly zone: string;
  readonly httpAddress: string;
  /** Binary and arguments with which the process is restarted. */
  readonly command: [string, string[]];
  child: ChildProcess;
  /** Relay in front of the process's peer server. */
  readonly peerRelay?: Relay | undefined;
  /** Relay between the process and the log. */
  readonly logRelay?: Relay | undefined;
}

/** One edit of the settings tree. */
export interface SettingsEdit {
  path: string;
  value: unknown;
}

/**
 * A cluster of separate local processes: the log stand-in, entries, and agents
 * with one upstream stand-in each. For development scripts, tests and
 * benchmarks. The upstream at index `n` belongs to the agent at index `n`.
 */
export class Cluster {
  readonly entries: ClusterProcess[] = [];
  readonly agents: ClusterProcess[] = [];
  readonly upstreams: ClusterProcess[] = [];
  logAddress = "";
  #logProcess: ChildProcess | undefined;
  #changeCount = 0;
  readonly #options: ClusterOptions;
  readonly #folder = mkdtempSync(join(tmpdir(), "cranberrybank-"));

  constructor(options: ClusterOptions) {
    this.#options = options;
  }

  /** Gets the folder with the settings files of the processes. */
  get folder(): string {
    return this.#folder;
  }

  /**
   * Starts all processes, publishes the services and waits until all processes
   * are ready.
   */
  async start(): Promise<void> {
    const {
      entryZones,
      agentZones,
      services = ["echo"],
      logStandInArgs = [],
    } = this.#options;
    const logPort = await findFreePort();
    this.logAddress = `127.0.0.1:${logPort}`;
    this.#logProcess = startBinary("log_stand_in", [
      "--port",
      String(logPort),
      ...logStandInArgs,
    ]);
    await waitForHttp(`http://${this.logAddress}/v1/records?from=1`);
    const value = Object.fromEntries(services.map((service) => [service, {}]));
    await this.publish([{ path: "services", value }]);
    for (const zone of entryZones) {
      await this.addEntry(zone);
    }
    for (const zone of agentZones) {
      await this.addAgent(zone);
    }
    await this.waitUntilReady();
  }

  /**
   * Waits until every process is ready and every entry has a stream to every
   * agent.
   */
  async waitUntilReady(): Promise<void> {
    for (const { httpAddress } of [...this.entries, ...this.agents]) {
      await waitForHttp(`http://${httpAddress}/readyz`);
    }
    for (const entry of this.entries) {
      await waitFor(`the streams of ${entry.name}`, async () => {
        const { confirmed } = await this.getView(entry);
        const offsets = Object.values(confirmed);
        return offsets.length >= this.agents.length &&
          offsets.every((offset) => offset >= 0);
      });
    }
  }

  /** Stops all processes gracefully, the log last. */
  async stop(): Promise<void> {
    const processes = [...this.entries, ...this.agents];
    processes.forEach(({ child }) => child.kill("SIGCONT"));
    await Promise.all(processes.map(({ child }) => stopChild(child)));
    await Promise.all(this.upstreams.map(({ child }) => stopChild(child)));
    for (const { peerRelay, logRelay } of processes) {
      peerRelay?.stop();
      logRelay?.stop();
    }
    if (this.#logProcess !== undefined) {
      await stopChild(this.#logProcess);
    }
  }

  /** Adds and starts an entry, without waiting until it is ready. */
  async addEntry(zone: string): Promise<ClusterProcess> {
    const name = `entry-${this.entries.length + 1}`;
    const process = await this.#startProcess("entry", { name, zone });
    this.entries.push(process);
    return process;
  }

  /** Adds and starts an agent with its upstream, without waiting for them. */
  async addAgent(zone: string): Promise<ClusterProcess> {
    const { services = ["echo"], slots = 8, speeds = [] } = this.#options;
    const name = `agent-${this.agents.length + 1}`;
    const port = await findFreePort();
    const upstreamAddress = `127.0.0.1:${port}`;
    const agent = await this.#startProcess("agent", {
      name,
      zone,
      upstreamAddress,
    });
    const command: [string, string[]] = ["upstream_stand_in", [
      ...["--port", String(port), "--agent", agent.httpAddress],
      ...["--services", services.join(","), "--slots", String(slots)],
      ...["--speed", String(speeds[this.agents.length] ?? 1)],
      ...(this.#options.persistsTaskStarts
        ? ["--starts", this.#getStartsPath(name)]
        : []),
    ]];
    this.agents.push(agent);
    this.upstreams.push({
      name,
      zone,
      httpAddress: upstreamAddress,
      command,
      child: startBinary(...command),
    });
    return agent;
  }

  /** Kills a process with SIGKILL, and waits until it has exited. */
  async kill(process: ClusterProcess): Promise<void> {
    const exited = new Promise<void>((resolve) =>
      process.child.once("exit", () => resolve())
    );
    process.child.kill("SIGKILL");
    await exited;
  }

  /** Stops a process gracefully. */
  async stopProcess(process: ClusterProcess): Promise<void> {
    await stopChild(process.child);
  }

  /** Restarts a process that was killed or stopped. */
  restart(process: ClusterProcess): void {
    process.child = startBinary(...process.command);
  }

  /** Pauses a process. */
  pause(process: ClusterProcess): void {
    process.child.kill("SIGSTOP");
  }

  /** Resumes a paused process. */
  resume(process: ClusterProcess): void {
    process.child.kill("SIGCONT");
  }

  /** Sets the faults of the log stand-in; see `LogFaults`. */
  async setLogFaults(faults: Record<string, unknown>): Promise<void> {
    await fetch(`http://${this.logAddress}/v1/faults`, {
      method: "PUT",
      body: JSON.stringify(faults),
    });
  }

  /** Sets the behavior of an upstream; see `UpstreamBehavior`. */
  async setUpstreamBehavior(
    upstream: ClusterProcess,
    behavior: Record<string, unknown>,
  ): Promise<void> {
    await fetch(`http://${upstream.httpAddress}/v1/behavior`, {
      method: "PUT",
      body: JSON.stringify(behavior),
    });
  }

  /** Appends a change of the settings to the log, and returns its offset. */
  async publish(edits: SettingsEdit[]): Promise<number> {
    this.#changeCount++;
    const response = await fetch(`http://${this.logAddress}/v1/records`, {
      method: "POST",
      body: JSON.stringify({
        type: "change",
        id: `cluster-${this.#changeCount}`,
        baseRevision: Number.MAX_SAFE_INTEGER,
        operator: "cluster",
        edits,
      }),
    });
    return (await response.json() as { offset: number }).offset;
  }

  /** Gets the view of a process. */
  async getView(process: ClusterProcess): Promise<{
    offset: number;
    revision: number;
    confirmed: { [memberId: string]: number };
    members: { id: string; name: string; role: string; phase: string }[];
  }> {
    const response = await fetch(`http://${process.httpAddress}/v1/view`);
    return await response.json() as Awaited<ReturnType<Cluster["getView"]>>;
  }

  /** Gets all task starts that the upstreams have recorded. */
  async getTaskStarts(): Promise<(TaskStart & { upstream: string })[]> {
    const starts = await Promise.all(this.upstreams.map(async (upstream) => {
      const recorded = await this.#readStarts(upstream);
      return recorded.map((start) => ({ ...start, upstream: upstream.name }));
    }));
    return starts.flat();
  }

  async #readStarts(upstream: ClusterProcess): Promise<TaskStart[]> {
    if (!this.#options.persistsTaskStarts) {
      const response = await fetch(`http://${upstream.httpAddress}/v1/starts`);
      return await response.json() as TaskStart[];
    }
    const path = this.#getStartsPath(upstream.name);
    const text = existsSync(path) ? readFileSync(path, "utf8") : "";
    return text.split("\n").filter((line) => line !== "")
      .map((line) => JSON.parse(line) as TaskStart);
  }

  #getStartsPath(name: string): string {
    return join(this.#folder, `${name}.starts`);
  }

  async #startProcess(
    role: "entry" | "agent",
    settings: { name: string; zone: string; upstreamAddress?: string },
  ): Promise<ClusterProcess> {
    const httpPort = await findFreePort();
    const peerPort = await findFreePort();
    const peerRelay = this.#options.hasRelays
      ? new Relay(`127.0.0.1:${peerPort}`)
      : undefined;
    const logRelay = this.#options.hasRelays
      ? new Relay(this.logAddress)
      : undefined;
    const announcedPeerAddress = await peerRelay?.start();
    const logAddress = await logRelay?.start() ?? this.logAddress;
    const path = join(this.#folder, `${settings.name}.json`);
    const allSettings = {
      host: "127.0.0.1",
      httpPort,
      peerPort,
      logAddress,
      ...(announcedPeerAddress === undefined ? {} : { announcedPeerAddress }),
      ...this.#options.processSettings,
      ...settings,
    };
    writeFileSync(path, JSON.stringify(allSettings, undefined, 2));
    const command: [string, string[]] = [role, [path]];
    const { name, zone } = settings;
    const httpAddress = `127.0.0.1:${httpPort}`;
    return {
      name,
      zone,
      httpAddress,
      command,
      peerRelay,
      logRelay,
      child: startBinary(...command),
    };
  }
}

function startBinary(name: string, args: string[]): ChildProcess {
  const path = new URL(`../../src/bin/${name}.js`, import.meta.url).pathname;
  return spawn(process.execPath, [path, ...args], {
    stdio: ["ignore", "ignore", "inherit"],
  });
}

async function waitForHttp(url: string): Promise<void> {
  await waitFor(url, async () => {
    const response = await fetch(url);
    await response.arrayBuffer();
    return response.ok;
  });
}
