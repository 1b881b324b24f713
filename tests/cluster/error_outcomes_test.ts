import { expect } from "chai";
import { Cluster, type ClusterProcess } from "../../scripts/lib/cluster.ts";
import { Caller, printCompletedShare, sleep } from "../lib/caller.ts";
import { TestRandom } from "../lib/test_random.ts";

const SEED = 5;

describe("the words run, not run and unknown", function () {
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
   * Starts jobs a few milliseconds apart, checks all words, and gets the share
   * of complete answers.
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
    // A task that was declared "not run" must not start later either.
    await sleep(300);
    expect(await caller.findViolations(cluster)).to.deep.equal([]);
    const submissions = caller.oracle.submissions.filter(({ key }) =>
      key.startsWith(prefix)
    );
    return printCompletedShare(prefix, submissions);
  }

  it("are true when deadlines pass about when tasks start or end", async () => {
    // Guards against a deadline that reports "not run" while the dispatch is on
    // its way.
    const share = await check("deadline", (key, entry) => {
      const deadlineMs = random.getInt(1, 200);
      return caller.submit({ key, entry, tasks: 6, runMs: 40, deadlineMs });
    });
    expect(share).to.be.above(0);
  });

  it("are true when task timeouts pass about when tasks end", async () => {
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

  it("are true when callers cancel at any moment", async () => {
    const share = await check("cancel", async (key, entry) => {
      const job = caller.submit({ key, entry, tasks: 12, runMs: 30 });
      await sleep(random.getInt(0, 90));
      await caller.cancel(entry, key);
      await job;
    });
    expect(share).to.be.above(0);
  });

  it("are true when a failed task cancels the tasks that are just sent", async () => {
    // Guards against an abort that comes between the send of a task and the
    // queue's report of it.
    await cluster.setBehavior(getUpstream(0), { mode: "failing" });
    await check(
      "failing",
      (key, entry) => caller.submit({ key, entry, tasks: 40, runMs: 5 }),
    );
    await cluster.setBehavior(getUpstream(0), { mode: "normal" });
  });

  it("are true for refusals of the entry and for upstreams that refuse connections", async () => {
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
    // A refused connection is tried on another agent, so the work is done all
    // the same.
    expect(share).to.be.above(0.9);
    cluster.restart(getUpstream(1));
  });
});
