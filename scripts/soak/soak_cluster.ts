import { mkdirSync } from "node:fs";
import {
  type StandInTask,
  StoreStandIn,
  type WorkerEvent,
  WorkerStandIn,
} from "../../platform/stand_in/mod.ts";
import { findFreePort } from "../lib/find_free_port.ts";
import { Relay } from "../lib/relay.ts";
import { waitFor } from "../lib/wait_for.ts";
import type { SoakAgent } from "./soak_agent.ts";
import type { SoakEntry } from "./soak_entry.ts";
import { SOAK_LIMITS } from "./soak_limits.ts";
import { SoakProcess } from "./soak_process.ts";
import { WORKER_KINDS } from "./worker_kinds.ts";
import type { WorkerLocation } from "./worker_location.ts";

/** Slowdown of tasks outside their data's rack, or away from their group. */
const FAR_FACTOR = 1.5;

/** Number of agents whose workers are in one rack. */
const AGENTS_PER_RACK = 4;

/** Time after which a worker that a task has crashed is back. */
const WORKER_RESTART_MS = 2_000;

export interface SoakClusterOptions {
  /** Folder for settings and logs. */
  folder: string;
  entries: number;
  agents: number;
  zones: readonly string[];
  services: readonly string[];
  /**
   * Whether all workers have the same speed, exact clocks and a guarded
   * capacity; by default they differ.
   */
  hasEqualWorkers?: boolean;
  /** CPU of a worker, in thousandths of a core. */
  workerCpuMillis?: number;
  /** Time after which a process that has ended runs again. */
  restartDelayMs?: number;
  /**
   * Called with the first bytes of each stream to an agent, which is opened when
   * the promise is resolved.
   */
  waitToConnect?: (agent: string, firstBytes: Buffer) => Promise<void>;
  /** Whether there is a relay on each link to an agent or worker; by default there is. */
  hasRelays?: boolean;
  /** Settings that are added to those of each entry and agent. */
  processSettings?: Record<string, unknown>;
  /** Options of Node.js for the processes of each role. */
  nodeOptions?: Partial<Record<"entry" | "agent", readonly string[]>>;
  findTask: (task: string) => StandInTask | undefined;
  onEvent: (event: WorkerEvent, location: WorkerLocation) => void;
}

/**
 * Entries and agents as separate processes, with stand-ins for the store and
 * the workers, and a relay on each link between them.
 */
export class SoakCluster {
  readonly entries: SoakEntry[] = [];
  readonly agents: SoakAgent[] = [];
  readonly store: StoreStandIn;
  readonly #options: SoakClusterOptions;
  readonly #peerAddresses = new Map<string, string>();
  #storeAddress = "";

  constructor(options: SoakClusterOptions) {
    this.#options = options;
    mkdirSync(options.folder, { recursive: true });
    this.store = new StoreStandIn({
      // Replaces the agent's address by its relay's, so that entries use that.
      mapValue: ({ key, value }) => {
        const address = this.#peerAddresses.get(key);
        return address === undefined
          ? value
          : JSON.stringify({ ...JSON.parse(value), address });
      },
    });
  }

  /**
   * Starts all processes, without waiting until they are ready.
   * @param distFolder - Folder of the compiled programs, if it is another one.
   */
  async start(distFolder?: string): Promise<void> {
    const { entries, agents } = this.#options;
    this.#storeAddress = await this.store.start();
    for (let n = 0; n < agents; n++) {
      this.agents.push(await this.#createAgent(n));
    }
    for (let n = 0; n < entries; n++) {
      this.entries.push(await this.#createEntry(n));
    }
    for (const { process } of [...this.agents, ...this.entries]) {
      process.distFolder = distFolder ?? process.distFolder;
      process.start();
    }
  }

  /** Waits until each entry reports to the load balancer that it is ready. */
  async waitUntilReady(): Promise<void> {
    for (const { process, readyAddress } of this.entries) {
      await waitFor(process.name, async () => {
        const answer = await fetch(`http://${readyAddress}/`);
        await answer.arrayBuffer();
        return answer.ok;
      });
    }
  }

  async stop(): Promise<void> {
    const all = [...this.entries, ...this.agents];
    await Promise.all(all.map(({ process }) => process.stop()));
    for (const { storeRelay } of all) {
      storeRelay.stop();
    }
    for (const { worker, peerRelay, workerRelay } of this.agents) {
      worker.stop();
      peerRelay.stop();
      workerRelay.stop();
    }
    this.store.stop();
  }

  async #createEntry(n: number): Promise<SoakEntry> {
    const name = `entry-${n + 1}`;
    const address = `127.0.0.1:${await findFreePort()}`;
    const readyAddress = `127.0.0.1:${await findFreePort()}`;
    const storeRelay = new Relay(this.#storeAddress);
    const settings = {
      name,
      zone: this.#getZone(n),
      storeAddress: await storeRelay.start(),
      metricsPort: await findFreePort(),
      jobAddress: address,
      readyAddress,
      farFactor: FAR_FACTOR,
      ...this.#options.processSettings,
    };
    const { folder, restartDelayMs, nodeOptions } = this.#options;
    const process = new SoakProcess({
      ...{ role: "entry", name, folder, settings, restartDelayMs },
      nodeOptions: nodeOptions?.entry,
    });
    const { metricsPort } = settings;
    return {
      process,
      jobAddress: address,
      readyAddress,
      storeRelay,
      metricsPort,
    };
  }

  async #createAgent(n: number): Promise<SoakAgent> {
    const {
      folder,
      services,
      hasEqualWorkers = false,
      workerCpuMillis = SOAK_LIMITS.workerCpuMillis,
      restartDelayMs,
      waitToConnect,
      hasRelays = true,
      processSettings,
      nodeOptions,
      findTask,
      onEvent,
    } = this.#options;
    const name = `agent-${n + 1}`;
    const zone = this.#getZone(n);
    const service = services[n % services.length] as string;
    const reportAddress = `127.0.0.1:${await findFreePort()}`;
    const peerAddress = `127.0.0.1:${await findFreePort()}`;
    const handleEvent = (event: WorkerEvent) => {
      onEvent(event, { agent: name, zone, service });
      if (event.kind === "crash_caused") {
        workerRelay.setMode({ type: "refuse" });
        setTimeout(() => {
          workerRelay.setMode({ type: "pass" });
          worker.startIncarnation();
        }, WORKER_RESTART_MS);
      }
    };
    const worker = new WorkerStandIn({
      name: `worker-${n + 1}`,
      service,
      zone,
      workerKind: getWorkerKind(n, services.length),
      rack: `r${1 + Math.floor(n / AGENTS_PER_RACK)}`,
      cpuMillis: workerCpuMillis,
      slowdown: hasEqualWorkers ? 1 : 0.7 + 0.3 * (n % 3),
      // Clocks of workers may run up to 2% slow.
      clockRate: hasEqualWorkers || n % 2 === 0 ? 1 : 0.98,
      reportAddress,
      findTask,
      guardsCapacity: hasEqualWorkers || n % 2 === 0,
      onEvent: handleEvent,
    });
    const peerRelay = new Relay(
      peerAddress,
      waitToConnect && {
        waitToConnect: (firstBytes) => waitToConnect(name, firstBytes),
      },
    );
    const workerAddress = await worker.start();
    const workerRelay = new Relay(workerAddress);
    const workerRelayAddress = await workerRelay.start();
    const storeRelay = new Relay(this.#storeAddress);
    const settings = {
      name,
      zone,
      storeAddress: await storeRelay.start(),
      metricsPort: await findFreePort(),
      peerAddress,
      workerAddress: hasRelays ? workerRelayAddress : workerAddress,
      service,
      maxLeaseMs: 1_000,
      reportAddress,
      ...processSettings,
    };
    if (hasRelays) {
      this.#peerAddresses.set(name, await peerRelay.start());
    }
    const process = new SoakProcess({
      ...{ role: "agent", name, folder, settings, restartDelayMs },
      nodeOptions: nodeOptions?.agent,
    });
    const { metricsPort } = settings;
    return {
      process,
      zone,
      worker,
      reportAddress,
      peerAddress,
      peerRelay,
      workerRelay,
      storeRelay,
      metricsPort,
    };
  }

  #getZone(n: number): string {
    const { zones } = this.#options;
    return zones[n % zones.length] as string;
  }
}

/** Gets the first kind of a worker; each service has workers of each kind. */
function getWorkerKind(n: number, serviceCount: number): string {
  const ofService = Math.floor(n / serviceCount);
  return WORKER_KINDS[ofService % WORKER_KINDS.length] as string;
}
