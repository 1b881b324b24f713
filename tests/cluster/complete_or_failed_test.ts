import { expect } from "chai";
import * as http from "node:http";
import { Cluster, type ClusterProcess } from "../../scripts/lib/cluster.ts";
import { Caller, printCompletedShare, sleep } from "../lib/caller.ts";

describe("an answer", function () {
  this.timeout(60_000);
  const cluster = new Cluster({
    entryZones: ["a", "b"],
    agentZones: ["a", "b", "c", "c"],
    persistsTaskStarts: true,
    hasRelays: true,
  });
  const caller = new Caller();
  const connections = new http.Agent({ keepAlive: true, maxSockets: 4 });

  before(() => cluster.start());
  after(async () => {
    connections.destroy();
    await cluster.stop();
  });

  /**
   * Runs jobs of many tasks while a fault begins and ends, and gets the share
   * of complete jobs.
   */
  async function check(
    title: string,
    fault: () => Promise<void>,
  ): Promise<number> {
    let isLoadRunning = true;
    const load = caller.runLoad({
      ...{ prefix: title, entries: cluster.entries, intervalMs: 60 },
      ...{ tasks: 10, runMs: 40, deadlineMs: 5_000, connections },
      shouldContinue: () => isLoadRunning,
    });
    await sleep(500);
    await fault();
    await sleep(500);
    isLoadRunning = false;
    const share = printCompletedShare(title, await load);
    expect(await caller.findViolations(cluster)).to.deep.equal([]);
    return share;
  }

  it("is complete or failed when an upstream resets connections in the middle of response bodies", async () => {
    // Guards against a job answer without the tasks whose responses were
    // truncated.
    const [upstream] = cluster.upstreams as [ClusterProcess];
    await check("resetting", async () => {
      await cluster.setUpstreamBehavior(upstream, { mode: "resetting" });
      await sleep(1_500);
      await cluster.setUpstreamBehavior(upstream, {});
    });
  });

  it("is complete or failed when entries are disconnected from some agents", async () => {
    const disconnected = cluster.agents.slice(0, 2);
    const share = await check("disconnected agents", async () => {
      disconnected.forEach(({ peerRelay }) =>
        peerRelay?.setMode({ type: "refuse" })
      );
      await sleep(1_500);
      disconnected.forEach(({ peerRelay }) =>
        peerRelay?.setMode({ type: "pass" })
      );
    });
    expect(share).to.be.above(0.5);
  });

  it("belongs to its own request when answers are delayed and callers give up and resubmit", async () => {
    // Guards against an answer that is delivered to the next request on a
    // connection or stream, and against a resubmission that gets a different
    // answer from the first submission.
    const [delayed] = cluster.agents as [ClusterProcess];
    delayed.peerRelay?.setMode({ type: "delay", delayMs: 60 });
    const jobs = await Promise.all(
      Array.from({ length: 80 }, async (_, n) => {
        await sleep(n * 25);
        const job = { key: `crossed-${n}`, tasks: 3, runMs: 30 + n % 7 * 10 };
        const [first, second] = n % 2 === 0
          ? cluster.entries as [ClusterProcess, ClusterProcess]
          : [...cluster.entries].reverse() as [ClusterProcess, ClusterProcess];
        const giveUpAfterMs = n % 3 === 0 ? 40 : 20_000;
        await caller.submit({ ...job, entry: first, giveUpAfterMs });
        return await caller.submit({ ...job, entry: second, connections });
      }),
    );
    delayed.peerRelay?.setMode({ type: "pass" });
    expect(await caller.findViolations(cluster)).to.deep.equal([]);
    expect(printCompletedShare("crossed", jobs)).to.be.above(0.95);
  });

  it("is complete or failed when an agent and then its upstream are killed", async () => {
    const [, agent] = cluster.agents as [ClusterProcess, ClusterProcess];
    const [, upstream] = cluster.upstreams as [ClusterProcess, ClusterProcess];
    const share = await check("killed", async () => {
      await cluster.kill(agent);
      await sleep(200);
      await cluster.kill(upstream);
      await sleep(3_000);
      cluster.restart(agent);
      cluster.restart(upstream);
      await cluster.waitUntilReady();
    });
    expect(share).to.be.above(0.5);
  });
});
