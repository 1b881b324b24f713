import * as http from "node:http";
import { LogFollower } from "../../../src/coordination/follower/mod.ts";
import { ClusterView } from "../../../src/state/view/mod.ts";
import { HttpLogService } from "../../../src/transport/log/mod.ts";
import { Cluster } from "../cluster.ts";
import { CountingRelay } from "./counting_relay.ts";
import { FakeAgent } from "./fake_agent.ts";

/**
 * Runs a real entry as a separate process, and the agents' side of its streams
 * in the current one.
 */
export class EntryBench {
  readonly #cluster = new Cluster({
    entryZones: ["a"],
    agentZones: [],
    logStandInArgs: ["--appends", "100000"],
    processSettings: { logLevel: "error" },
  });
  readonly #agents: FakeAgent[] = [];
  readonly #relays: CountingRelay[] = [];
  readonly #abortController = new AbortController();
  readonly #httpAgent = new http.Agent({ keepAlive: true, maxSockets: 256 });
  #log: HttpLogService | undefined;
  #follower: LogFollower | undefined;
  #jobCount = 0;
  answeredJobCount = 0;
  failedJobCount = 0;

  /** Gets the process id of the entry. */
  get pid(): number {
    return this.#cluster.entries[0]?.child.pid ?? 0;
  }

  /** Gets the bytes that the entry has received and sent on its streams. */
  get streamBytes(): { received: number; sent: number } {
    return {
      received: this.#relays.reduce(
        (sum, relay) => sum + relay.receivedBytes,
        0,
      ),
      sent: this.#relays.reduce((sum, relay) => sum + relay.sentBytes, 0),
    };
  }

  /** Starts the entry. */
  async start(): Promise<void> {
    await this.#cluster.start();
    this.#log = new HttpLogService(this.#cluster.logAddress);
    const view = new ClusterView();
    const log = this.#log;
    this.#follower = new LogFollower({ view, log, zone: "a" });
    void this.#follower.run(this.#abortController.signal);
  }

  /**
   * Adds fake agents until there are `count` of them, and waits until the entry
   * has a stream to each.
   * @param credits - Credits that each new agent grants to the entry.
   */
  async addAgentsUpTo(count: number, credits: number): Promise<void> {
    while (this.#agents.length < count) {
      await this.#addAgent(`fake-${this.#agents.length + 1}`, credits);
    }
    const [entry] = this.#cluster.entries;
    for (let tries = 0; tries < 600 && entry !== undefined; tries++) {
      const { confirmed } = await this.#cluster.getView(entry);
      const offsets = Object.values(confirmed);
      if (offsets.length === count && offsets.every((offset) => offset >= 0)) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }

  /** Sends a job without waiting for its answer. */
  sendJob(tasks: number, options: { deadlineMs: number }): void {
    const body = JSON.stringify({
      service: "echo",
      tasks: Array.from({ length: tasks }, () => ({ body: '{"runMs":5}' })),
      ...options,
    });
    const request = http.request({
      host: "127.0.0.1",
      port: this.#cluster.entries[0]?.httpAddress.split(":")[1],
      method: "POST",
      path: "/v1/jobs",
      agent: this.#httpAgent,
      headers: {
        "idempotency-key": `bench-${this.#jobCount++}`,
        "x-customer": "bench",
        "content-length": Buffer.byteLength(body),
      },
    }, (response) => {
      response.statusCode === 200
        ? this.answeredJobCount++
        : this.failedJobCount++;
      response.resume();
    });
    request.on("error", () => this.failedJobCount++);
    request.end(body);
  }

  /**
   * Waits until at least `tasks` tasks are queued at the entry.
   * @throws When they are not queued within about 30 s.
   */
  async waitForQueuedTasks(tasks: number): Promise<void> {
    const address = this.#cluster.entries[0]?.httpAddress;
    for (let tries = 0; tries < 600; tries++) {
      const response = await fetch(`http://${address}/metrics`);
      const match = /cranberrybank_tasks_waiting (\d+)/.exec(
        await response.text(),
      );
      if (Number(match?.[1]) >= tasks) {
        return;
      }
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    throw new Error(`the entry didn't queue ${tasks} tasks in time`);
  }

  /** Stops all processes. */
  async stop(): Promise<void> {
    this.#httpAgent.destroy();
    await this.#cluster.stop();
    this.#abortController.abort();
    this.#agents.forEach((agent) => agent.stop());
    this.#relays.forEach((relay) => relay.stop());
  }

  async #addAgent(memberId: string, credits: number): Promise<void> {
    const follower = this.#follower as LogFollower;
    const agent = new FakeAgent({ memberId, follower, credits });
    this.#agents.push(agent);
    const relay = new CountingRelay(`127.0.0.1:${await agent.start()}`);
    this.#relays.push(relay);
    await this.#log?.append({
      type: "announce",
      member: {
        ...{ id: memberId, name: memberId, role: "agent", zone: "a" },
        peerAddress: await relay.start(),
        httpAddress: "127.0.0.1:1",
        services: ["echo"],
        slots: 8,
      },
    });
  }
}
