import { expect } from "chai";
import { Cluster, type ClusterProcess } from "../../scripts/lib/cluster.ts";
import { Caller, printCompletedShare, sleep } from "../lib/caller.ts";
import { TestRandom } from "../lib/test_random.ts";

const SEED = 5;

describe("the outcomes run, not run and unknown", function () {
  this.timeout(60_000);
  const cluster = new Cluster({
    entryZones: ["a", "b"],
    agentZones: ["a", "b", "c"],
    persistsTaskStarts: true,
  });
  const random = new TestRandom(SEED);
  const [getEntry, getUpstream] = [
    (n: number) => cluster.entries[n] as ClusterProcess,
    (n: number) => cluster.upstreams[n] as ClusterProcess,
  ];
  const caller = new Caller();

  before(() => cluster.start());
  after(() => cluster.stop());

  /**
   * Submits jobs a few milliseconds apart, checks all outcomes, and gets the
   * share of complete answers.
   */
  async function check(
    prefix: string,
    submit: (key: string, entry: ClusterProcess) => Promise<unknown>,
  ): Promise<number> {
    const jobs: Promise<unknown>[] = [];
    for (let n = 0; n < 60; n++) {
      jobs.push(submit(`${prefix}-${n}`, getEntry(n % 2)));
      await sleep(random.getInt(0, 25));
    }
    await Promise.all(jobs);
    // A task that was reported as "not run" must not start later either.
    await sleep(300);
    expect(await caller.findViolations(cluster)).to.deep.equal([]);
    const submissions = caller.oracle.submissions.filter(({ key }) =>
      key.startsWith(prefix)
    );
    return printCompletedShare(prefix, submissions);
  }

  it("are correct when deadlines pass at about the time that tasks start or end", async () => {
    // Guards against reporting "not run" at the deadline while the dispatch is
    // in transit.
    const share = await check("deadline", (key, entry) => {
      const deadlineMs = random.getInt(1, 200);
      return caller.submit({ key, entry, tasks: 6, runMs: 40, deadlineMs });
    });
    expect(share).to.be.above(0);
  });

  it("are correct when task timeouts pass at about the time that tasks end", async () => {
    const share = await check("timeout", (key, entry) => {
      const timeoutMs = random.getInt(30, 60);
      const repeatable = random.getInt(0, 1) === 1;
      return caller.submit({
        ...{ key, entry, tasks: 5, runMs: 40 },
        ...{ timeoutMs, repeatable },
      });
    });
    expect(share).to.be.above(0);
  });

  it("are correct when callers cancel at any time", async () => {
    const share = await check("cancel", async (key, entry) => {
      const job = caller.submit({ key, entry, tasks: 12, runMs: 30 });
      await sleep(random.getInt(0, 90));
      await caller.cancel(entry, key);
      await job;
    });
    expect(share).to.be.above(0);
  });

  it("are correct when a failed task cancels tasks that are being sent", async () => {
    // Guards against an abort between the sending of a task and the queue's
    // report that it was sent.
    await cluster.setUpstreamBehavior(getUpstream(0), { mode: "failing" });
    await check(
      "failing",
      (key, entry) => caller.submit({ key, entry, tasks: 40, runMs: 5 }),
    );
    await cluster.setUpstreamBehavior(getUpstream(0), { mode: "normal" });
  });

  it("are correct when the entry refuses a job and when upstreams refuse connections", async () => {
    const entry = getEntry(0);
    const refused = await caller.submit({
      key: "none",
      entry,
      service: "none",
    });
    expect(refused.answer).to.have.nested.property(
      "error.kind",
      "unknown_service",
    );
    await cluster.kill(getUpstream(1));
    const share = await check(
      "refusing",
      (key, entry) =>
        caller.submit({ key, entry, tasks: 4, deadlineMs: 3_000 }),
    );
    // After a refused connection the task is retried on another agent, so the
    // jobs still complete.
    expect(share).to.be.above(0.9);
    cluster.restart(getUpstream(1));
  });
});
