import { expect } from "chai";
import { Cluster, type ClusterProcess } from "../../scripts/lib/cluster.ts";
import { Caller, printCompletedShare, sleep } from "../lib/caller.ts";
import type { OracleSubmission } from "../lib/oracle.ts";

/**
 * Longest time for a change to reach every process: the view age limit, in
 * milliseconds.
 */
const BOUND_MS = 5_000;

/**
 * Time from the agent's write to the upstream's record of the start on a busy
 * machine, in milliseconds.
 */
const RECORD_SLACK_MS = 200;

describe("a planned stop", function () {
  this.timeout(120_000);
  const cluster = new Cluster({
    entryZones: ["a", "b"],
    agentZones: ["a", "a", "b", "c"],
    persistsTaskStarts: true,
    hasRelays: true,
  });
  const caller = new Caller();
  const get = (processes: ClusterProcess[], n: number) =>
    processes[n] as ClusterProcess;

  before(() => cluster.start());
  after(() => cluster.stop());

  async function isReady(entry: ClusterProcess): Promise<boolean> {
    const url = `http://${entry.httpAddress}/readyz`;
    return await fetch(url).then(({ ok }) => ok, () => false);
  }

  /**
   * Submits like a balancer: to a ready entry, to the next one on a refused
   * connection or "not run".
   */
  async function submitBalanced(
    key: string,
    first: number,
  ): Promise<OracleSubmission> {
    for (let tries = 0;; tries++) {
      const entry = get(cluster.entries, (first + tries) % 2);
      if (!await isReady(entry) && tries < 200) {
        await sleep(50);
        continue;
      }
      const job = { key, entry, tasks: 4, runMs: 120, deadlineMs: 10_000 };
      const submission = await caller.submit(job);
      const { answer, isRefused } = submission;
      const canGoOn = isRefused ||
        (answer?.status === "failed" && answer.error.outcome === "not run");
      if (!canGoOn || tries >= 200) {
        return submission;
      }
      await sleep(50);
    }
  }

  /**
   * Runs an action under load, and checks that every submission gets a complete
   * answer.
   */
  async function check(
    title: string,
    action: () => Promise<void>,
    intervalMs = 40,
  ): Promise<void> {
    const running: Promise<OracleSubmission>[] = [];
    let isGoingOn = true;
    const load = (async () => {
      for (let n = 0; isGoingOn; n++) {
        running.push(submitBalanced(`${title}-${n}`, n));
        await sleep(intervalMs);
      }
    })();
    await sleep(500);
    await action();
    isGoingOn = false;
    await load;
    const share = printCompletedShare(title, await Promise.all(running));
    expect(await caller.findViolations(cluster)).to.deep.equal([]);
    expect(share).to.equal(1);
  }

  async function replace(process: ClusterProcess): Promise<void> {
    await cluster.stopProcess(process);
    cluster.restart(process);
    await sleep(500);
    await cluster.waitUntilReady();
  }

  it("of an entry and an agent with slow links between them cuts off nothing", async () => {
    // Guards against leaving while claims, dispatches or results are still on
    // their way.
    const setDelay = (delayMs: number) =>
      cluster.agents.forEach(({ peerRelay }) =>
        peerRelay?.setMode({ type: "delay", delayMs })
      );
    setDelay(150);
    await check("slow links", async () => {
      for (let round = 0; round < 2; round++) {
        await replace(get(cluster.entries, 0));
        await replace(get(cluster.agents, 1));
      }
    }, 120);
    setDelay(0);
  });

  it("of all instances one after the other cuts off nothing", async () => {
    await check("rolling", async () => {
      for (const process of [...cluster.agents, ...cluster.entries]) {
        await replace(process);
      }
    });
  });

  /**
   * Checks that nothing starts at the first upstream after the bound, and that
   * what runs there ends.
   */
  async function checkLeaving(
    title: string,
    leave: () => Promise<unknown>,
  ): Promise<void> {
    let leftAt = 0;
    await check(title, async () => {
      await leave();
      leftAt = Date.now();
      await sleep(BOUND_MS + 2_000);
    });
    const offsets = (await cluster.getStarts())
      .filter(({ upstream }) => upstream === "agent-1")
      .map(({ timeMs }) => timeMs - leftAt);
    console.log(`      last start after ${Math.max(...offsets)} ms`);
    expect(Math.max(...offsets)).to.be.below(BOUND_MS + RECORD_SLACK_MS);
  }

  it("of an upstream by DELETE ends its work and gives it no more", async () => {
    const upstream = get(cluster.upstreams, 0);
    await checkLeaving("delete", async () => {
      await cluster.setBehavior(upstream, { isAnnounced: false });
      const agent = get(cluster.agents, 0);
      await fetch(`http://${agent.httpAddress}/v1/upstream`, {
        method: "DELETE",
      });
    });
    await cluster.setBehavior(upstream, {});
    await cluster.waitUntilReady();
  });

  it("of an upstream by the settings ends its work and gives it no more", async () => {
    const path = "upstreams.agent-1.state";
    await checkLeaving(
      "settings",
      () => cluster.publish([{ path, value: "out" }]),
    );
    await cluster.publish([{ path, value: "in" }]);
  });
});
