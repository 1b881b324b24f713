import { expect } from "chai";
import { Cluster, type ClusterProcess } from "../../scripts/lib/cluster.ts";
import { Caller, sleep } from "../lib/caller.ts";
import { NaiveDispatcher } from "../lib/naive_dispatcher.ts";
import { Oracle } from "../lib/oracle.ts";

const JOB_COUNT = 160;

describe("the same faults and submissions", function () {
  this.timeout(60_000);
  const cluster = new Cluster({
    entryZones: ["a", "b"],
    agentZones: ["a", "b", "c", "c"],
    persistsTaskStarts: true,
  });

  before(() => cluster.start());
  after(() => cluster.stop());

  /**
   * Submits jobs at a fixed interval during a schedule of upstream faults.
   * Every fourth job is submitted twice.
   */
  async function run(
    prefix: string,
    submit: (
      job: { key: string; tasks: number; runMs: number },
      n: number,
    ) => Promise<unknown>,
  ): Promise<void> {
    const [first, second, third] = cluster.upstreams as ClusterProcess[];
    const schedule: { [n: number]: () => Promise<void> } = {
      20: () =>
        cluster.setUpstreamBehavior(first as ClusterProcess, {
          mode: "resetting",
        }),
      60: () => cluster.setUpstreamBehavior(first as ClusterProcess, {}),
      70: () =>
        cluster.setUpstreamBehavior(second as ClusterProcess, {
          mode: "hanging",
        }),
      100: () => cluster.setUpstreamBehavior(second as ClusterProcess, {}),
      110: () => cluster.kill(third as ClusterProcess),
      140: () => Promise.resolve(cluster.restart(third as ClusterProcess)),
    };
    const running: Promise<unknown>[] = [];
    for (let n = 0; n < JOB_COUNT; n++) {
      await schedule[n]?.();
      const job = { key: `${prefix}-${n}`, tasks: 4, runMs: 40 };
      running.push(submit(job, n));
      if (n % 4 === 0) {
        running.push(submit(job, n + 1));
      }
      await sleep(30);
    }
    await Promise.all(running);
  }

  /**
   * Finds the violations of guarantees, and prints their number by kind and the
   * share of complete keys.
   */
  async function report(title: string, oracle: Oracle): Promise<string[]> {
    const starts = await cluster.getTaskStarts();
    const own = starts.filter(({ key }) => key.includes(`/${title}-`));
    const violations = oracle.findViolations(own);
    const count = (part: string) =>
      violations.filter((violation) => violation.includes(part)).length;
    const share = (oracle.getCompletedShare() * 100).toFixed(1);
    console.log(
      `      ${title}: ${share}% of keys complete, ${
        count("started")
      } doubled starts, ${count("partial")} wrong answers, ${
        count("untrue")
      } untrue "not run"`,
    );
    return violations;
  }

  it("cause no violation with the cluster, and several with the naive dispatcher", async () => {
    // Guards against an oracle that detects no violations: it has to find some
    // with the naive dispatcher.
    const naive = new Oracle();
    const dispatcher = new NaiveDispatcher(cluster.upstreams, naive);
    await run("naive", (job) => dispatcher.submit(job));
    const caller = new Caller();
    await run("product", (job, n) => {
      const entry = cluster.entries[n % 2] as ClusterProcess;
      return caller.submit({ ...job, entry, timeoutMs: 1_000 });
    });
    expect(await report("naive", naive)).not.to.deep.equal([]);
    expect(await report("product", caller.oracle)).to.deep.equal([]);
    expect(caller.oracle.getCompletedShare()).to.be.above(0.7);
  });
});
