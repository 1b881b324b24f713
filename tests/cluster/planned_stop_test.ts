import { expect } from "chai";
import { Cluster, type ClusterProcess } from "../../scripts/lib/cluster.ts";
import { Caller, printCompletedShare, sleep } from "../lib/caller.ts";
import type { OracleSubmission } from "../lib/oracle.ts";

/**
 * Longest time until every process applies a change, in milliseconds: the view
 * age limit.
 */
const VIEW_AGE_LIMIT_MS = 5_000;

/**
 * Allowance for the time from the agent's write to the upstream's record of the
 * start on a busy machine, in milliseconds.
 */
const RECORD_DELAY_ALLOWANCE_MS = 200;

describe("a planned stop", function () {
  this.timeout(120_000);
  const cluster = new Cluster({
    entryZones: ["a", "b"],
    agentZones: ["a", "a", "b", "c"],
    persistsTaskStarts: true,
    hasRelays: true,
  });
  const caller = new Caller();
  const getProcess = (processes: ClusterProcess[], n: number) =>
    processes[n] as ClusterProcess;

  before(() => cluster.start());
  after(() => cluster.stop());

  async function isReady(entry: ClusterProcess): Promise<boolean> {
    const url = `http://${entry.httpAddress}/readyz`;
    return await fetch(url).then(({ ok }) => ok, () => false);
  }

  /**
   * Submits like a load balancer: to a ready entry, and to the next one after a
   * refused connection or a "not run" answer.
   */
  async function submitBalanced(
    key: string,
    first: number,
  ): Promise<OracleSubmission> {
    for (let attempts = 0;; attempts++) {
      const entry = getProcess(cluster.entries, (first + attempts) % 2);
      if (!await isReady(entry) && attempts < 200) {
        await sleep(50);
        continue;
      }
      const job = { key, entry, tasks: 4, runMs: 120, deadlineMs: 10_000 };
      const submission = await caller.submit(job);
      const { answer, isRefused } = submission;
      const canRetry = isRefused ||
        (answer?.status === "failed" && answer.error.outcome === "not run");
      if (!canRetry || attempts >= 200) {
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
    let isLoadRunning = true;
    const load = (async () => {
      for (let n = 0; isLoadRunning; n++) {
        running.push(submitBalanced(`${title}-${n}`, n));
        await sleep(intervalMs);
      }
    })();
    await sleep(500);
    await action();
    isLoadRunning = false;
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

  it("of an entry and an agent with slow links between them interrupts no job", async () => {
    // Guards against leaving the cluster while claims, dispatches or results
    // are in transit.
    const setDelay = (delayMs: number) =>
      cluster.agents.forEach(({ peerRelay }) =>
        peerRelay?.setMode({ type: "delay", delayMs })
      );
    setDelay(150);
    await check("slow links", async () => {
      for (let round = 0; round < 2; round++) {
        await replace(getProcess(cluster.entries, 0));
        await replace(getProcess(cluster.agents, 1));
      }
    }, 120);
    setDelay(0);
  });

  it("of all instances one after the other interrupts no job", async () => {
    await check("rolling", async () => {
      for (const process of [...cluster.agents, ...cluster.entries]) {
        await replace(process);
      }
    });
  });

  /**
   * Takes the first upstream out of service, and checks that nothing starts
   * there after the view age limit and that running tasks end.
   */
  async function checkUpstreamRemoval(
    title: string,
    takeOut: () => Promise<unknown>,
  ): Promise<void> {
    let takenOutAt = 0;
    await check(title, async () => {
      await takeOut();
      takenOutAt = Date.now();
      await sleep(VIEW_AGE_LIMIT_MS + 2_000);
    });
    const offsets = (await cluster.getTaskStarts())
      .filter(({ upstream }) => upstream === "agent-1")
      .map(({ timeMs }) => timeMs - takenOutAt);
    console.log(`      last start after ${Math.max(...offsets)} ms`);
    expect(Math.max(...offsets)).to.be.below(
      VIEW_AGE_LIMIT_MS + RECORD_DELAY_ALLOWANCE_MS,
    );
  }

  it("of an upstream by DELETE ends its work and gives it no more", async () => {
    const upstream = getProcess(cluster.upstreams, 0);
    await checkUpstreamRemoval("delete", async () => {
      await cluster.setUpstreamBehavior(upstream, { isAnnounced: false });
      const agent = getProcess(cluster.agents, 0);
      await fetch(`http://${agent.httpAddress}/v1/upstream`, {
        method: "DELETE",
      });
    });
    await cluster.setUpstreamBehavior(upstream, {});
    await cluster.waitUntilReady();
  });

  it("of an upstream by the settings ends its work and gives it no more", async () => {
    const path = "upstreams.agent-1.state";
    await checkUpstreamRemoval(
      "settings",
      () => cluster.publish([{ path, value: "out" }]),
    );
    await cluster.publish([{ path, value: "in" }]);
  });
});
