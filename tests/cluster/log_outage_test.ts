import { expect } from "chai";
import { Cluster, type ClusterProcess } from "../../scripts/lib/cluster.ts";
import { Caller, printCompletedShare, sleep } from "../lib/caller.ts";

/**
 * Longest time for which a disconnected process starts tasks, in milliseconds:
 * the view age limit.
 */
const VIEW_AGE_LIMIT_MS = 5_000;

/**
 * Allowance for the time from the agent's write to the upstream's record of the
 * start on a busy machine, in milliseconds.
 */
const RECORD_DELAY_ALLOWANCE_MS = 200;

/**
 * Duration of an outage, in milliseconds: longer than the view age limit and
 * than several times the maximum age of outage reports.
 */
const OUTAGE_MS = 10_000;

describe("an outage of the log", function () {
  this.timeout(60_000);
  const cluster = new Cluster({
    entryZones: ["a", "b"],
    agentZones: ["a", "b", "c"],
    persistsTaskStarts: true,
    hasRelays: true,
  });
  const caller = new Caller();

  before(() => cluster.start());
  after(() => cluster.stop());

  /**
   * Runs load for the duration of the outage, and gets the share of complete
   * jobs.
   */
  async function check(
    title: string,
    entries = cluster.entries,
  ): Promise<number> {
    const endsAt = Date.now() + OUTAGE_MS;
    const jobs = await caller.runLoad({
      ...{ prefix: title, entries, intervalMs: 25, deadlineMs: 4_000 },
      ...{ tasks: 2, runMs: 30, shouldContinue: () => Date.now() < endsAt },
    });
    const share = printCompletedShare(title, jobs);
    expect(await caller.findViolations(cluster)).to.deep.equal([]);
    return share;
  }

  for (const fault of ["isDown", "isHanging"]) {
    it(`stops no work (${fault})`, async () => {
      // Guards against stopping all work when views become too old, although
      // most zones report the outage.
      await cluster.setLogFaults({ [fault]: true });
      expect(await check(fault)).to.be.above(0.95);
      await cluster.setLogFaults({});
      await sleep(1_000);
    });
  }

  it("isn't inferred from a single agent that is disconnected from the log and receives tasks late", async () => {
    // Guards against a disconnected process that takes its own failure to read
    // the log for an outage. Its streams are stalled, so that tasks which were
    // sent before arrive when its view is too old.
    const [, , agent] = cluster.agents as ClusterProcess[];
    const disconnectedAt = Date.now();
    agent?.logRelay?.setMode({ type: "refuse" });
    agent?.peerRelay?.setMode({ type: "hold" });
    const released = sleep(VIEW_AGE_LIMIT_MS + 1_000).then(() =>
      agent?.peerRelay?.setMode({ type: "pass" })
    );
    const share = await check("isolated agent");
    await released;
    const late = (await cluster.getTaskStarts()).filter((
      { upstream, timeMs },
    ) =>
      upstream === agent?.name &&
      timeMs > disconnectedAt + VIEW_AGE_LIMIT_MS + RECORD_DELAY_ALLOWANCE_MS &&
      timeMs < disconnectedAt + VIEW_AGE_LIMIT_MS + 1_000
    );
    expect(late).to.deep.equal([]);
    expect(share).to.be.above(0.8);
    agent?.logRelay?.setMode({ type: "pass" });
    await cluster.waitUntilReady();
  });

  it("isn't inferred from a zone whose processes reach only each other", async () => {
    // Guards against a zone that continues because of its own reports.
    const [, entry] = cluster.entries as [ClusterProcess, ClusterProcess];
    const [, agent] = cluster.agents as [ClusterProcess, ClusterProcess];
    const others = cluster.agents.filter((other) => other !== agent);
    // Entry 2 keeps only its stream to agent 2. Entry 1 is paused to interrupt
    // its own, since each agent has one relay for the streams of all entries.
    entry.logRelay?.setMode({ type: "refuse" });
    agent.logRelay?.setMode({ type: "refuse" });
    cluster.pause(cluster.entries[0] as ClusterProcess);
    others.forEach(({ peerRelay }) => peerRelay?.setMode({ type: "refuse" }));
    const disconnectedAt = Date.now();
    await check("isolated zone", [entry]);
    const late = (await cluster.getTaskStarts()).filter(({ timeMs }) =>
      timeMs > disconnectedAt + VIEW_AGE_LIMIT_MS + RECORD_DELAY_ALLOWANCE_MS
    );
    expect(late).to.deep.equal([]);
    cluster.resume(cluster.entries[0] as ClusterProcess);
    [entry, ...cluster.agents].forEach(({ logRelay, peerRelay }) => {
      logRelay?.setMode({ type: "pass" });
      peerRelay?.setMode({ type: "pass" });
    });
    await cluster.waitUntilReady();
    expect(await check("reconnected zone")).to.be.above(0.8);
  });
});
