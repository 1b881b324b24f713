import { expect } from "chai";
import { Cluster, type ClusterProcess } from "../../scripts/lib/cluster.ts";
import { HomeFinder } from "../../src/state/homes/mod.ts";
import { ClusterView, Member } from "../../src/state/view/mod.ts";
import { Caller, sleep } from "../lib/caller.ts";
import type { CallerAnswer } from "../lib/caller_answer.ts";

describe("claims when agents join and leave", function () {
  this.timeout(90_000);
  const cluster = new Cluster({
    entryZones: ["a", "b"],
    agentZones: ["a", "a", "b", "b", "c", "c"],
  });
  const { submit, findViolations } = createHelpers(cluster);

  before(() => cluster.start());
  after(() => cluster.stop());

  it("keeps claims when an agent joins", async () => {
    // Guards against a new home that grants keys whose jobs are running or done
    // under the previous home.
    const done = Array.from({ length: 60 }, (_, n) => `done-${n}`);
    const running = Array.from({ length: 40 }, (_, n) => `running-${n}`);
    const doneAnswers = await submit(0, done);
    const first = submit(0, running, { runMs: 4_000 });
    await sleep(500);
    const before = await getHomeLookup(cluster);
    await cluster.addAgent("a");
    await cluster.waitUntilReady();
    const after = await getHomeLookup(cluster);
    expect(done.map(after)).to.not.deep.equal(done.map(before));
    const resubmitted = await submit(1, running, { runMs: 4_000 });
    expect(resubmitted).to.deep.equal(await first);
    expect(await submit(1, done)).to.deep.equal(doneAnswers);
    expect(await findViolations()).to.deep.equal([]);
  });

  it("keeps claims when their home is stopped gracefully", async () => {
    // Guards against claims that are lost when their home stops.
    const home = cluster.agents[1] as ClusterProcess;
    const [unusedKey = "", ...known] = await findKeys(cluster, home, "stop");
    const first = submit(0, known, { runMs: 1_500 });
    await sleep(300);
    const stopped = cluster.stopProcess(home);
    const meanwhile = submit(1, known, { runMs: 1_500 });
    await stopped;
    const later = submit(1, known, { runMs: 1_500 });
    expect(await meanwhile).to.deep.equal(await first);
    expect(await later).to.deep.equal(await first);
    expect((await submit(1, [unusedKey]))[0]?.status).to.equal("complete");
    expect(await findViolations()).to.deep.equal([]);
  });

  it("keeps claims when their home is killed, and serves new keys", async () => {
    // Guards against claims that are lost with their home, and against holding
    // back keys unnecessarily.
    const home = cluster.agents[2] as ClusterProcess;
    const keys = await findKeys(cluster, home, "kill");
    const [unusedKey = "", done = "", ...running] = keys;
    const doneAnswer = await submit(0, [done]);
    const first = submit(0, running, { runMs: 8_000 });
    await sleep(300);
    await cluster.kill(home);
    const resubmitted = submit(1, running, { runMs: 8_000 });
    const unusedKeyAnswer = submit(1, [unusedKey]);
    expect(await submit(1, [done])).to.deep.equal(doneAnswer);
    expect((await unusedKeyAnswer)[0]?.status).to.equal("complete");
    expect(await resubmitted).to.deep.equal(await first);
    expect(await findViolations()).to.deep.equal([]);
  });
});

describe("claims when entries fail", function () {
  this.timeout(90_000);
  const cluster = new Cluster({
    entryZones: ["a", "b", "c", "a"],
    agentZones: ["a", "a", "b", "b", "c"],
  });
  const { submit, findViolations, waitForStart } = createHelpers(cluster);

  before(() => cluster.start());
  after(() => cluster.stop());

  it("refuses dispatches of a paused entry that resumes after its removal", async () => {
    // Guards against late dispatches by an entry that was removed as lost.
    const entry = cluster.entries[3] as ClusterProcess;
    const options = { runMs: 1_500, tasks: 100 };
    const first = submit(3, ["paused"], options);
    await waitForStart(0);
    cluster.pause(entry);
    const [resubmitted] = await submit(0, ["paused"], options);
    expect(getKind(resubmitted)).to.equal("coordinator_lost");
    await Promise.all(cluster.agents.map(async (agent) => {
      const isMember = async () =>
        (await cluster.getView(agent)).members.some(({ name }) =>
          name === entry.name
        );
      while (await isMember()) {
        await sleep(50);
      }
    }));
    const starts = await cluster.getTaskStarts();
    expect(starts).to.not.deep.equal([]);
    cluster.resume(entry);
    expect((await first)[0]?.status).to.equal("failed");
    await sleep(1_000);
    expect(await cluster.getTaskStarts()).to.have.length(starts.length);
    expect(await findViolations()).to.deep.equal([]);
  });

  it("answers unknown when the entry was killed", async () => {
    // Guards against running a job again when its coordinator is lost, and
    // against waiting for the coordinator forever.
    const earlierStarts = (await cluster.getTaskStarts()).length;
    const first = submit(0, ["entry"], { runMs: 1_500 });
    await waitForStart(earlierStarts);
    await cluster.kill(cluster.entries[0] as ClusterProcess);
    expect(await first).to.deep.equal([undefined]);
    const [answer] = await submit(1, ["entry"], { runMs: 1_500 });
    expect(getKind(answer)).to.equal("coordinator_lost");
    expect(await findViolations()).to.deep.equal([]);
  });

  it("answers unknown when the entry and the home were killed", async () => {
    // Guards against losing a claim that only start records still show.
    const home = cluster.agents[0] as ClusterProcess;
    const [key = "", unusedKey = ""] = await findKeys(cluster, home, "both");
    const earlierStarts = (await cluster.getTaskStarts()).length;
    const first = submit(1, [key], { runMs: 1_500 });
    await waitForStart(earlierStarts);
    await cluster.kill(home);
    await cluster.kill(cluster.entries[1] as ClusterProcess);
    expect(await first).to.deep.equal([undefined]);
    const [answer, unusedKeyAnswer] = await submit(2, [key, unusedKey], {
      runMs: 1_500,
    });
    expect(getKind(answer)).to.equal("coordinator_lost");
    expect(unusedKeyAnswer?.status).to.equal("complete");
    expect(await findViolations()).to.deep.equal([]);
  });
});

function createHelpers(cluster: Cluster) {
  const caller = new Caller();
  return {
    submit: (
      entry: number,
      keys: string[],
      options: { runMs?: number; tasks?: number } = {},
    ): Promise<(CallerAnswer | undefined)[]> =>
      Promise.all(keys.map(async (key) => {
        const process = cluster.entries[entry] as ClusterProcess;
        const job = { key, entry: process, ...options };
        return (await caller.submit(job)).answer;
      })),
    findViolations: () => caller.findViolations(cluster),
    /** Waits until more task starts than `count` have been recorded. */
    waitForStart: async (count: number): Promise<void> => {
      while ((await cluster.getTaskStarts()).length <= count) {
        await sleep(10);
      }
    },
  };
}

function getKind(answer: CallerAnswer | undefined): string | undefined {
  return answer?.status === "failed" ? answer.error.kind : answer?.status;
}

/**
 * Gets a function that returns the name of a key's home, according to the view
 * of the second entry.
 */
async function getHomeLookup(
  cluster: Cluster,
): Promise<(key: string) => string | undefined> {
  const { members } = await cluster.getView(
    cluster.entries[1] as ClusterProcess,
  );
  const view = new ClusterView();
  members.filter(({ phase }) => phase === "live").forEach((member, n) => {
    view.apply(
      { type: "announce", member: Member.strip().parse(member) },
      n + 1,
    );
  });
  const homes = new HomeFinder(view);
  return (key) => homes.find(`default/${key}`)?.name;
}

/** Finds up to 8 keys whose home is the given agent. */
async function findKeys(
  cluster: Cluster,
  home: ClusterProcess,
  prefix: string,
): Promise<string[]> {
  const findHome = await getHomeLookup(cluster);
  return Array.from({ length: 400 }, (_, n) => `${prefix}-${n}`)
    .filter((key) => findHome(key) === home.name).slice(0, 8);
}
