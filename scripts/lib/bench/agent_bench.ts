import { AgentLink } from "../../../src/coordination/entry/agent_link.ts";
import { LogFollower } from "../../../src/coordination/follower/mod.ts";
import { MessageCounts, Metrics } from "../../../src/state/metrics/mod.ts";
import { Timeline } from "../../../src/state/timeline/mod.ts";
import { ClusterView, type MemberState } from "../../../src/state/view/mod.ts";
import { HttpLogService } from "../../../src/transport/log/mod.ts";
import { ConnectPeerClient } from "../../../src/transport/peer/mod.ts";
import { Cluster } from "../cluster.ts";
import { CountingRelay } from "./counting_relay.ts";

/**
 * Runs a real agent as a separate process, and the entries' side of its streams
 * in the current one.
 */
export class AgentBench {
  readonly links: AgentLink[] = [];
  readonly #cluster = new Cluster({
    entryZones: [],
    agentZones: ["a"],
    slots: 64,
    logStandInArgs: ["--appends", "100000"],
    processSettings: { logLevel: "error" },
  });
  readonly #relays: CountingRelay[] = [];
  readonly #abortController = new AbortController();
  #log: HttpLogService | undefined;
  #follower: LogFollower | undefined;

  /** Gets the process id of the agent. */
  get pid(): number {
    return this.#cluster.agents[0]?.child.pid ?? 0;
  }

  /** Gets the bytes that the agent has received and sent on its streams. */
  get streamBytes(): { received: number; sent: number } {
    return {
      received: this.#relays.reduce((sum, relay) => sum + relay.sentBytes, 0),
      sent: this.#relays.reduce((sum, relay) => sum + relay.receivedBytes, 0),
    };
  }

  /** Starts the agent. */
  async start(): Promise<void> {
    await this.#cluster.start();
    this.#log = new HttpLogService(this.#cluster.logAddress);
    const view = new ClusterView();
    const log = this.#log;
    this.#follower = new LogFollower({ view, log, zone: "a" });
    void this.#follower.run(this.#abortController.signal);
  }

  /** Adds links of new entries until there are `count` of them. */
  async addLinksUpTo(count: number): Promise<void> {
    while (this.links.length < count) {
      await this.#addLink(`bench-${this.links.length + 1}`);
    }
    await this.#waitFor(() => this.links.every((link) => link.isUp));
  }

  /** Appends a change of the settings. */
  appendChange(count: number): void {
    void this.#log?.append({
      type: "change",
      id: `change-${count}-${Date.now()}`,
      baseRevision: Number.MAX_SAFE_INTEGER,
      operator: "bench",
      edits: [{
        path: `services.echo.jobs.job-${count % 100}.rules.priority`,
        value: count % 10,
      }],
    });
  }

  /** Stops all processes. */
  async stop(): Promise<void> {
    this.#abortController.abort();
    this.links.forEach((link) => link.close());
    this.#relays.forEach((relay) => relay.stop());
    await this.#cluster.stop();
  }

  async #addLink(memberId: string): Promise<void> {
    const follower = this.#follower as LogFollower;
    const { view } = follower;
    await this.#waitFor(() => view.getMembers("agent").length === 1);
    const [agent] = view.getMembers("agent") as [MemberState];
    const relay = new CountingRelay(agent.peerAddress);
    const peerAddress = await relay.start();
    this.#relays.push(relay);
    await this.#log?.append({
      type: "announce",
      member: {
        ...{ id: memberId, name: memberId, role: "entry", zone: "a" },
        ...{ peerAddress: "127.0.0.1:1", httpAddress: "127.0.0.1:1" },
        ...{ services: [], slots: 0 },
      },
    });
    const link = new AgentLink({
      member: { ...agent, peerAddress },
      ...{ memberId, zone: "a", follower, peers: new ConnectPeerClient() },
      timeline: new Timeline(memberId),
      wantsCredits: true,
      onChange: () => {},
      onCreditsChange: () => {},
      getDemand: () => 0,
      messages: new MessageCounts(new Metrics()),
    });
    this.links.push(link);
    void link.run();
  }

  async #waitFor(check: () => boolean): Promise<void> {
    for (let tries = 0; tries < 200 && !check(); tries++) {
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
  }
}
