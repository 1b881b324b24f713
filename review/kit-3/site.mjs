/**
 * Starts a small site: the programs of the deploy file as separate processes on loopback
 * addresses, with stand-ins for the store and the workers.
 */
import { spawn } from "node:child_process";
import { mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { setTimeout as wait } from "node:timers/promises";
import { call } from "./client.mjs";
import { Link } from "./link.mjs";
import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

export const ROOT = join(dirname(fileURLToPath(import.meta.url)), "../..");
export const HOST = "queue.example";

/** Figures of the small sites of the users' pages. */
const BOUNDS = { holdMaxMs: 1_000, spreadFactor: 1.5 };
const RESTART_DELAY_MS = 300;

export class Site {
  entries = [];
  agents = [];
  workers = [];
  store = new Store();
  /** Definition of each task by its name: `{ cpu, memMb, runMs }`. */
  tasks = new Map();
  events = [];
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #isStopped = false;
  #onEvent;

  constructor({ onEvent = () => {} } = {}) {
    this.#onEvent = onEvent;
  }

  /**
   * @param options.entries - Number of entries, one a zone.
   * @param options.agents - Number of agents, each with a worker.
   * @param options.capacity - Of each worker.
   * @param options.kinds - Of the workers, in turn.
   * @param options.hasLinks - Whether the streams of each entry go through links that can be
   * cut.
   */
  async start({ entries = 3, agents = 11, capacity = { cpu: 32_000, memMb: 131_072, gpu: 0 }, routes, service = "app", hasLinks = false, kinds = ["a"] }) {
    const storeAddress = await this.store.listen();
    this.publishConfig(1, routes, service);
    const zones = ["zone-a", "zone-b", "zone-c"];
    for (let n = 0; n < agents; n++) {
      const name = `side-${n + 1}`;
      const zone = zones[n % 3];
      const control = await findFreeAddress();
      const [ip, peerPort] = (await findFreeAddress()).split(":");
      const worker = new Worker({
        ...{ name: `w${n + 1}`, service, zone, capacity, reportAddress: control },
        kind: kinds[n % kinds.length],
        rack: `r${1 + Math.floor(n / 3)}`,
        findTask: (task) => this.tasks.get(task),
        onEvent: (event) => {
          this.events.push(event);
          this.#onEvent(event);
        },
      });
      const app = await worker.listen();
      const program = await this.#createProgram("agent", {
        node: name,
        zone,
        ip,
        portRange: [peerPort],
        platform: { addr: storeAddress },
        app,
        service,
        bounds: BOUNDS,
        listen: { control },
      });
      this.workers.push(worker);
      this.agents.push({ name, zone, worker, program, peerAddress: `${ip}:${peerPort}` });
    }
    for (let n = 0; n < entries; n++) {
      const name = `front-${n + 1}`;
      const zone = zones[n % 3];
      const front = await findFreeAddress();
      const ready = await findFreeAddress();
      const links = hasLinks ? await this.#createLinks() : [];
      const program = await this.#createProgram("entry", {
        node: name,
        zone,
        platform: { addr: hasLinks ? await this.#listenForEntry(links) : storeAddress },
        listen: { front, ready },
        bounds: BOUNDS,
      });
      this.entries.push({ name, zone, front, ready, program, links });
    }
    [...this.agents, ...this.entries].forEach(({ program }) => program.start());
    this.workers.forEach((worker) => worker.start());
    await this.#waitUntilReady();
  }

  publishConfig(version, routes, service = "app") {
    const config = { version, routes: routes.map((route) => ({ service, ...route })), services: [{ name: service }], limits: {} };
    this.store.publish("config", JSON.stringify(config));
  }

  /** Ends all processes that this site has started. */
  async stop() {
    this.#isStopped = true;
    await Promise.all([...this.entries, ...this.agents].map(({ program }) => program.end()));
    this.workers.forEach((worker) => worker.stop());
    this.entries.forEach(({ links }) => links.forEach(({ link }) => link.stop()));
    this.store.stop();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.#folder, { recursive: true, force: true });
    } else {
      console.error(`logs: ${this.#folder}`);
    }
  }

  /** Creates a link from one entry to each agent. */
  async #createLinks() {
    return await Promise.all(this.agents.map(async ({ name, peerAddress }) => {
      const link = new Link(peerAddress);
      return { agent: name, link, address: await link.start() };
    }));
  }

  /** Has the store listen for an entry that finds the agents at the ends of its links. */
  async #listenForEntry(links) {
    return await this.store.listen((key, value) => {
      const found = links.find(({ agent }) => agent === key);
      return found === undefined
        ? value
        : Buffer.from(JSON.stringify({ ...JSON.parse(value), address: found.address }));
    });
  }

  async #waitUntilReady() {
    const until = performance.now() + 20_000;
    for (const { ready } of this.entries) {
      for (;;) {
        const { status } = await call(ready, { method: "GET", path: "/cranberrybank/ready", timeoutMs: 1_000 });
        if (status === 200) {
          break;
        }
        if (performance.now() > until) {
          throw new Error("the site is not ready after 20 s");
        }
        await wait(100);
      }
    }
    // Traffic starts some time after the machines.
    await wait(4_000);
  }

  async #createProgram(role, fields) {
    const template = readFileSync(join(ROOT, `platform/${role}.settings.template`), "utf8");
    const settings = JSON.parse(renderTemplate(template, fields));
    // All machines of the site share one host, and the metrics have a fixed port.
    settings.metricsPort = Number((await findFreeAddress()).split(":")[1]);
    const path = join(this.#folder, `${fields.node}.json`);
    writeFileSync(path, JSON.stringify(settings));
    return new Program(role, path, {
      logPath: join(this.#folder, `${fields.node}.log`),
      isStopped: () => this.#isStopped,
    });
  }
}

/** A process of the project, which is started again when it ends. */
class Program {
  #role;
  #settingsPath;
  #options;
  #child;

  constructor(role, settingsPath, options) {
    this.#role = role;
    this.#settingsPath = settingsPath;
    this.#options = options;
  }

  start() {
    const [command, ...words] = readRunCommand(this.#role);
    const log = openSync(this.#options.logPath, "a");
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(command === "node" ? process.execPath : command, words, {
      cwd: ROOT,
      stdio: ["ignore", log, log],
      env: { PATH, HOME, LANG, CRANBERRYBANK_NODE_FILE: this.#settingsPath },
    });
    child.once("exit", () => {
      if (!this.#options.isStopped()) {
        setTimeout(() => this.#options.isStopped() || this.start(), RESTART_DELAY_MS);
      }
    });
    this.#child = child;
  }

  signal(name) {
    this.#child.kill(name);
  }

  async end() {
    const child = this.#child;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
      return;
    }
    const ended = new Promise((resolve) => child.once("exit", resolve));
    child.kill("SIGKILL");
    await ended;
  }
}

/** Reads the words of `run` of a role from the deploy file. */
function readRunCommand(role) {
  const text = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const section = text.split(`[roles.${role}]`)[1];
  return /^run = "([^"]+)"/m.exec(section)[1].split(" ");
}

function renderTemplate(template, fields) {
  return template.replaceAll(/\{\{([\w.]+)\}\}/g, (_, path) => {
    const value = path.split(".").reduce((part, key) => part?.[key], fields);
    return value === undefined ? "" : String(value);
  });
}

const givenPorts = new Set();

async function findFreeAddress() {
  for (;;) {
    const server = createServer();
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address();
    await new Promise((resolve) => server.close(resolve));
    if (!givenPorts.has(port)) {
      givenPorts.add(port);
      return `127.0.0.1:${port}`;
    }
  }
}
