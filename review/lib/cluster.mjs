/**
 * A small deployment on loopback: the project's programs as separate processes,
 * started with the commands of the deploy file and settings rendered from its
 * templates, beside stand-ins of the store and the workers.
 */
import { spawn } from "node:child_process";
import {
  appendFileSync,
  existsSync,
  mkdtempSync,
  openSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { dirname, join } from "node:path";
import { fileURLToPath } from "node:url";
import { setTimeout as wait } from "node:timers/promises";
import { call } from "./call.mjs";
import { Store } from "./store.mjs";
import { Worker } from "./worker.mjs";

const ROOT = join(dirname(fileURLToPath(import.meta.url)), "..", "..");
const SERVICE = "catalogue-api";
const HOST = "nony24.example";
const PREFIX = "/lohu930/";

/** Exit codes of a script. */
export const EXIT = { held: 0, broken: 1, couldNotRun: 2 };

/** Whether the script brings about the disruption. */
export const HAS_TROUBLE = process.env.TROUBLE !== "0";

export class Cluster {
  /** Runs and ends on the workers: `{ kind, at, worker, task, run, how }`. */
  events = [];
  entries = [];
  agents = [];
  jobs = new Map();
  store = new Store();
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #recordFile;
  #startedAt = performance.now();
  #children = new Set();
  #storeAddress;
  #jobCount = 0;

  /** @param caseFolder - Folder in which `record.txt` is written. */
  constructor(caseFolder) {
    this.#recordFile = join(caseFolder, "record.txt");
    writeFileSync(this.#recordFile, `trouble: ${HAS_TROUBLE ? "yes" : "no"}\n`);
    if (!existsSync(join(ROOT, "target", "bundle", "entry.js"))) {
      this.record("the build of the deploy file is missing");
      process.exit(EXIT.couldNotRun);
    }
  }

  /** Gets the time since the start of the script, in milliseconds. */
  get now() {
    return performance.now() - this.#startedAt;
  }

  /** Writes a line to the record. */
  record(text) {
    const line = `${(this.now / 1_000).toFixed(3).padStart(8)} s  ${text}\n`;
    appendFileSync(this.#recordFile, line);
    process.stdout.write(line);
  }

  /** Starts the store, entries, agents and workers, and waits until they serve. */
  async start({ entries, agents, workerCpu = 32_000 }) {
    this.#storeAddress = await this.store.start();
    const route = {
      name: "r-3hwrr6x",
      host: HOST,
      pathPrefix: PREFIX,
      type: "non_idempotent",
      timeoutMs: 1_500,
      targetLatencyMs: 60,
      priority: 0,
      service: SERVICE,
      attempts: 3,
      stretch: 1.6,
    };
    this.store.publish(
      "config",
      JSON.stringify({
        version: 7,
        routes: [route],
        services: [{ name: SERVICE }],
        limits: { maxBodyBytes: 262_144 },
      }),
    );
    for (let number = 1; number <= agents; number++) {
      const agent = await this.#addAgent(number, workerCpu);
      agent.worker.startReports(agent.reportAddress, number / agents);
      this.agents.push(agent);
    }
    for (let number = 1; number <= entries; number++) {
      this.entries.push(await this.#addEntry(number));
    }
    const deadline = this.now + 15_000;
    while (!(await this.#isServing())) {
      if (this.now > deadline) {
        this.record("the deployment does not become ready");
        await this.finish(EXIT.couldNotRun);
      }
      await wait(100);
    }
    // Lets each entry open its streams to all agents.
    await wait(2_500);
    this.record(`${entries} entries and ${agents} agents serve`);
  }

  /** Adds a job's definition, and returns its body for the submission. */
  createJob({ steps, cpu = 3_100, runMs, clientWaitMs }) {
    this.#jobCount++;
    const id = this.#jobCount.toString(16).padStart(16, "0");
    const job = {
      id,
      cpu,
      runMs,
      clientWaitMs,
      steps: steps.map((step) => ({ cpu, memMb: 64, ...step })),
    };
    this.jobs.set(id, job);
    return job;
  }

  /**
   * Submits a job to an entry as a client does, and records the answer.
   * @param options - `resetAfterMs`: time after which the channel is reset.
   */
  async submit(job, entry, { resetAfterMs } = {}) {
    this.record(`${job.id} POST sent to ${entry.name}`);
    const answer = await call(entry.jobAddress, {
      method: "POST",
      path: PREFIX + job.id,
      headers: {
        host: HOST,
        "x-cranberrybank-deadline-ms": String(job.clientWaitMs),
      },
      body: { spec: `spec of ${job.id}`, steps: job.steps, bestEffort: true },
      timeoutMs: job.clientWaitMs,
      resetAfterMs,
    });
    this.record(`${job.id} POST answered by ${entry.name}: ${format(answer)}`);
    return answer;
  }

  /** Cancels a job at an entry as a client does, and records the answer. */
  async cancel(job, entry) {
    this.record(`${job.id} DELETE sent to ${entry.name}`);
    const answer = await call(entry.jobAddress, {
      method: "DELETE",
      path: PREFIX + job.id,
      headers: { host: HOST },
      timeoutMs: 4_000,
    });
    this.record(
      `${job.id} DELETE answered by ${entry.name}: ${format(answer)}`,
    );
    return answer;
  }

  /** Starts the process of an entry or agent with its settings. */
  startProcess(machine) {
    const settingsFile = join(this.#folder, `${machine.name}.json`);
    writeFileSync(settingsFile, JSON.stringify(machine.settings));
    const log = openSync(join(this.#folder, `${machine.name}.log`), "a");
    const [program, ...words] = readRunCommand(machine.role);
    const child = spawn(program, words, {
      cwd: ROOT,
      stdio: ["ignore", log, log],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        CRANBERRYBANK_NODE_FILE: settingsFile,
      },
    });
    this.#children.add(child);
    child.on("exit", () => this.#children.delete(child));
    machine.process = child;
    this.record(`${machine.name} started`);
  }

  /** Sends a signal to the process of a machine. */
  signal(machine, name) {
    this.record(`${machine.name} gets ${name}`);
    machine.process.kill(name);
  }

  /** Waits until an entry accepts connections of clients. */
  async waitUntilListening(entry) {
    for (;;) {
      const { status } = await call(entry.jobAddress, {
        method: "GET",
        path: PREFIX,
        headers: { host: HOST },
        timeoutMs: 1_000,
      });
      if (status === 200) {
        return;
      }
      await wait(10);
    }
  }

  /** Gets the runs of all workers with their start and end times. */
  getRuns() {
    const runs = [];
    for (const { kind, at, worker, task, run, how } of this.events) {
      if (kind === "start") {
        runs.push({ worker, task, run, start: at, end: Infinity, how: "" });
      } else {
        const open = runs.find((other) =>
          other.worker === worker && other.task === task && other.run === run &&
          other.end === Infinity
        );
        Object.assign(open, { end: at, how });
      }
    }
    return runs;
  }

  /** Ends all processes, and exits. */
  async finish(exitCode) {
    this.record(
      `result: ${
        ["the rule held", "the rule was broken", "could not run"][exitCode]
      }`,
    );
    for (const child of this.#children) {
      child.kill("SIGCONT");
      child.kill("SIGKILL");
    }
    for (const { worker } of this.agents) {
      worker.stop();
    }
    this.store.stop();
    const deadline = this.now + 3_000;
    while (this.#children.size > 0 && this.now < deadline) {
      await wait(20);
    }
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.#folder, { recursive: true, force: true });
    } else {
      process.stdout.write(`logs: ${this.#folder}\n`);
    }
    process.exit(exitCode);
  }

  async #addAgent(number, cpu) {
    const zone = `tn-nord-${"abc"[(number - 1) % 3]}`;
    const name = `side-${zone}-${number}`;
    const worker = new Worker({
      name,
      service: SERVICE,
      zone,
      cpu,
      findTask: (task) => this.jobs.get(task.split(".")[0]),
      onEvent: (event) => this.#addEvent(event),
    });
    const workerAddress = await worker.start();
    const reportAddress = await findFreeAddress();
    const peer = await findFreeAddress();
    const settings = render("agent", {
      node: name,
      zone,
      ip: peer.split(":")[0],
      portRange: [Number(peer.split(":")[1])],
      platform: { addr: this.#storeAddress },
      app: workerAddress,
      service: SERVICE,
      bounds: { holdMaxMs: 1_000 },
      listen: { control: reportAddress },
    });
    settings.metricsPort = Number((await findFreeAddress()).split(":")[1]);
    const agent = {
      role: "agent",
      name,
      zone,
      worker,
      settings,
      reportAddress,
    };
    this.startProcess(agent);
    return agent;
  }

  async #addEntry(number) {
    const zone = `tn-nord-${"abc"[(number - 1) % 3]}`;
    const name = `front-${zone}-${number}`;
    const jobAddress = await findFreeAddress();
    const readyAddress = await findFreeAddress();
    const settings = render("entry", {
      node: name,
      zone,
      platform: { addr: this.#storeAddress },
      listen: { front: jobAddress, ready: readyAddress },
      bounds: { spreadFactor: 1.5 },
    });
    settings.metricsPort = Number((await findFreeAddress()).split(":")[1]);
    const entry = {
      role: "entry",
      name,
      zone,
      jobAddress,
      readyAddress,
      settings,
    };
    this.startProcess(entry);
    return entry;
  }

  async #isServing() {
    for (const { readyAddress } of this.entries) {
      const { status } = await call(readyAddress, {
        method: "GET",
        path: "/cranberrybank/ready",
        timeoutMs: 1_000,
      });
      if (status !== 200) {
        return false;
      }
    }
    return true;
  }

  #addEvent(event) {
    this.events.push({ ...event, at: this.now });
    const { kind, worker, task, run, how } = event;
    this.record(
      `${task} run ${run} ${kind === "start" ? "started" : how} on ${worker}`,
    );
  }
}

/** Prepares the folder of a case and runs its script. */
export async function runCase(scriptUrl, script) {
  const cluster = new Cluster(dirname(fileURLToPath(scriptUrl)));
  for (const name of ["SIGINT", "SIGTERM"]) {
    process.once(name, () => void cluster.finish(EXIT.couldNotRun));
  }
  try {
    await cluster.finish(await script(cluster));
  } catch (error) {
    cluster.record(`the script failed: ${error.message}`);
    await cluster.finish(EXIT.couldNotRun);
  }
}

function format({ status, text, error }) {
  return error === undefined
    ? `${status} ${text.trim()}`
    : `no answer (${error})`;
}

/** Reads the command of a role from the deploy file. */
function readRunCommand(role) {
  const deploy = readFileSync(join(ROOT, "deploy", "system.toml"), "utf8");
  const section = deploy.slice(deploy.indexOf(`[roles.${role}]`));
  return /^run = "(.*)"$/m.exec(section)[1].split(" ");
}

/** Renders the settings template of a role. */
function render(role, fields) {
  const template = readFileSync(
    join(ROOT, "platform", `${role}.settings.template`),
    "utf8",
  );
  const text = template.replace(
    /\{\{([a-zA-Z0-9_.]+)(\|json)?\}\}/g,
    (_, path, json) => {
      const value = path.split(".").reduce((part, key) => part?.[key], fields);
      if (value === undefined) {
        throw new Error(`the template of ${role} needs ${path}`);
      }
      return json === undefined ? String(value) : JSON.stringify(value);
    },
  );
  return JSON.parse(text);
}

const takenPorts = new Set();

/** Finds a free address on loopback that was not handed out before. */
async function findFreeAddress() {
  for (;;) {
    const server = createServer();
    await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address();
    await new Promise((resolve) => server.close(resolve));
    if (!takenPorts.has(port)) {
      takenPorts.add(port);
      return `127.0.0.1:${port}`;
    }
  }
}
