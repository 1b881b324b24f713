import { expect } from "chai";
import { Cluster, type ClusterProcess } from "../../scripts/lib/cluster.ts";
import { Caller, printCompletedShare, sleep } from "../lib/caller.ts";

/**
 * A cut-off process starts tasks at most this long: the view age limit, in
 * milliseconds.
 */
const BOUND_MS = 5_000;

/**
 * Time from the agent's write to the upstream's record of the start on a busy
 * machine, in milliseconds.
 */
const RECORD_SLACK_MS = 200;

/**
 * Outage in the tests: longer than the view age limit and several report ages,
 * in milliseconds.
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
   * Runs load for the time of the outage, and gets the share of complete jobs.
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
      // Guards against stopping all work when views age, though most zones
      // report the outage.
      await cluster.setLogFaults({ [fault]: true });
      expect(await check(fault)).to.be.above(0.95);
      await cluster.setLogFaults({});
      await sleep(1_000);
    });
  }

  it("isn't taken from a single agent that is cut off from everything but its entry's tasks", async () => {
    // Guards against a cut-off process that takes its own view of the log for
    // an outage: the streams to it are held, so that tasks which were sent
    // before arrive when its view is old.
    const [, , agent] = cluster.agents as ClusterProcess[];
    const cutAt = Date.now();
    agent?.logRelay?.setMode({ type: "refuse" });
    agent?.peerRelay?.setMode({ type: "hold" });
    const released = sleep(BOUND_MS + 1_000).then(() =>
      agent?.peerRelay?.setMode({ type: "pass" })
    );
    const share = await check("cut off agent");
    await released;
    const late = (await cluster.getStarts()).filter(({ upstream, timeMs }) =>
      upstream === agent?.name && timeMs > cutAt + BOUND_MS + RECORD_SLACK_MS &&
      timeMs < cutAt + BOUND_MS + 1_000
    );
    expect(late).to.deep.equal([]);
    expect(share).to.be.above(0.8);
    agent?.logRelay?.setMode({ type: "pass" });
    await cluster.waitUntilReady();
  });

  it("isn't taken from a zone whose processes reach only each other", async () => {
    // Guards against a zone that goes on by its own reports.
    const [, entry] = cluster.entries as [ClusterProcess, ClusterProcess];
    const [, agent] = cluster.agents as [ClusterProcess, ClusterProcess];
    const others = cluster.agents.filter((other) => other !== agent);
    // Entry 2 keeps only its link to agent 2, and entry 1 loses its one:
    // streams are told apart by pausing.
    entry.logRelay?.setMode({ type: "refuse" });
    agent.logRelay?.setMode({ type: "refuse" });
    cluster.pause(cluster.entries[0] as ClusterProcess);
    others.forEach(({ peerRelay }) => peerRelay?.setMode({ type: "refuse" }));
    const cutAt = Date.now();
    await check("cut off zone", [entry]);
    const late = (await cluster.getStarts()).filter(({ timeMs }) =>
      timeMs > cutAt + BOUND_MS + RECORD_SLACK_MS
    );
    expect(late).to.deep.equal([]);
    cluster.resume(cluster.entries[0] as ClusterProcess);
    [entry, ...cluster.agents].forEach(({ logRelay, peerRelay }) => {
      logRelay?.setMode({ type: "pass" });
      peerRelay?.setMode({ type: "pass" });
    });
    await cluster.waitUntilReady();
    expect(await check("healed zone")).to.be.above(0.8);
  });
});
