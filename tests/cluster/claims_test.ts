import { expect } from "chai";
import { Cluster, type ClusterProcess } from "../../scripts/lib/cluster.ts";
import { HomeFinder } from "../../src/state/homes/mod.ts";
import { ClusterView, Member } from "../../src/state/view/mod.ts";

interface Answer {
  key: string;
  status: string;
  text: string;
  error?: { kind: string };
  tasks?: { index: number; outcome: string }[];
}

/** Submits jobs to a cluster and checks all answers against the starts that the upstreams have seen. */
class Oracle {
  readonly cluster: Cluster;
  readonly #answers: Answer[] = [];

  constructor(cluster: Cluster) {
    this.cluster = cluster;
  }

  async submit(
    entry: number,
    key: string,
    options: { runMs?: number; tasks?: number } = {},
  ): Promise<Answer> {
    const { runMs = 20, tasks = 1 } = options;
    const body = JSON.stringify({ runMs });
    const address = this.cluster.entries[entry]?.httpAddress;
    const response = await fetch(`http://${address}/v1/jobs`, {
      method: "POST",
      headers: { "idempotency-key": key },
      body: JSON.stringify({
        service: "echo",
        tasks: Array.from({ length: tasks }, () => ({ body })),
      }),
    });
    const text = await response.text();
    const answer: Answer = { ...JSON.parse(text), text };
    this.#answers.push(answer);
    return answer;
  }

  submitAll(
    entry: number,
    keys: string[],
    options: { runMs?: number } = {},
  ): Promise<Answer[]> {
    return Promise.all(keys.map((key) => this.submit(entry, key, options)));
  }

  /** Gets the agent that is the home of a key under the view of an entry. */
  async findHome(key: string, entry: number): Promise<ClusterProcess> {
    const { members } = await this.cluster.getView(
      this.cluster.entries[entry] as ClusterProcess,
    );
    const view = new ClusterView();
    const live = members.filter(({ phase }) => phase === "live");
    live.forEach((member, n) => {
      const announced = Member.strip().parse(member);
      view.apply({ type: "announce", member: announced }, n + 1);
    });
    const name = new HomeFinder(view).find(`default/${key}`)?.name;
    return this.cluster.agents.find((agent) =>
      agent.name === name
    ) as ClusterProcess;
  }

  async findKeys(
    home: ClusterProcess,
    prefix: string,
    options: { entry: number; count: number },
  ): Promise<string[]> {
    const keys: string[] = [];
    for (let n = 0; keys.length < options.count; n++) {
      const key = `${prefix}-${n}`;
      if ((await this.findHome(key, options.entry)).name === home.name) {
        keys.push(key);
      }
    }
    return keys;
  }

  async waitForStarts(count: number): Promise<void> {
    while ((await this.cluster.getStarts()).length < count) {
      await sleep(20);
    }
  }

  /** Waits until no agent's view holds a process any more. */
  async waitForRemoval(process: ClusterProcess): Promise<void> {
    for (const agent of this.cluster.agents) {
      const isMember = async () =>
        (await this.cluster.getView(agent)).members.some(({ name }) =>
          name === process.name
        );
      while (await isMember()) {
        await sleep(50);
      }
    }
  }

  async check(): Promise<void> {
    const counts = new Map<string, number>();
    const started = new Set<string>();
    for (const { key, index } of await this.cluster.getStarts()) {
      const id = `${key} ${index}`;
      counts.set(id, (counts.get(id) ?? 0) + 1);
      started.add(id);
    }
    const repeated = [...counts].filter(([, count]) => count > 1);
    expect(repeated, "tasks that started twice").to.deep.equal([]);
    const untrue = this.#answers.flatMap(({ key, tasks = [] }) =>
      tasks.filter(({ index, outcome }) =>
        outcome === "not run" && started.has(`default/${key} ${index}`)
      ).map(({ index }) => `${key} ${index}`)
    );
    expect(untrue, "started tasks answered as not run").to.deep.equal([]);
  }
}

describe("claims when agents come and go", function () {
  this.timeout(90_000);
  const oracle = new Oracle(
    new Cluster({
      entryZones: ["a", "b"],
      agentZones: ["a", "a", "b", "b", "c", "c"],
    }),
  );
  const { cluster } = oracle;

  before(() => cluster.start());
  after(() => cluster.stop());
  afterEach(() => oracle.check());

  it("keeps claims when an agent joins", async () => {
    // Guards against a new home that grants keys which are running or done under the former home.
    const done = Array.from({ length: 60 }, (_, n) => `done-${n}`);
    const running = Array.from({ length: 40 }, (_, n) => `running-${n}`);
    const doneAnswers = await oracle.submitAll(0, done);
    const first = oracle.submitAll(0, running, { runMs: 4_000 });
    await oracle.waitForStarts(100);
    const before = await Promise.all(
      done.map((key) => oracle.findHome(key, 1)),
    );
    await cluster.addAgent("a");
    await cluster.waitUntilReady();
    const after = await Promise.all(done.map((key) => oracle.findHome(key, 1)));
    expect(after).to.not.deep.equal(before);
    const again = await oracle.submitAll(1, running, { runMs: 4_000 });
    expect(again).to.deep.equal(await first);
    expect(await oracle.submitAll(1, done)).to.deep.equal(doneAnswers);
  });

  it("keeps claims when their home stops as planned", async () => {
    // Guards against a stopping home that takes its claims with it.
    const home = cluster.agents[1] as ClusterProcess;
    const keys = await oracle.findKeys(home, "stop", { entry: 0, count: 6 });
    const [fresh = "", ...known] = keys;
    const first = oracle.submitAll(0, known, { runMs: 1_500 });
    await sleep(300);
    const stopped = cluster.stopProcess(home);
    const meanwhile = oracle.submitAll(1, known, { runMs: 1_500 });
    await stopped;
    const later = oracle.submitAll(1, known, { runMs: 1_500 });
    expect(await meanwhile).to.deep.equal(await first);
    expect(await later).to.deep.equal(await first);
    expect((await oracle.submit(1, fresh)).status).to.equal("complete");
  });

  it("keeps claims when their home is killed, and serves fresh keys", async () => {
    // Guards against a home whose claims die with it, and against keys held back without need.
    const home = cluster.agents[2] as ClusterProcess;
    const keys = await oracle.findKeys(home, "kill", { entry: 0, count: 8 });
    const [fresh = "", done = "", ...running] = keys;
    const doneAnswer = await oracle.submit(0, done);
    const first = oracle.submitAll(0, running, { runMs: 8_000 });
    await sleep(300);
    await cluster.kill(home);
    const again = oracle.submitAll(1, running, { runMs: 8_000 });
    const freshAnswer = oracle.submit(1, fresh);
    expect(await oracle.submit(1, done)).to.deep.equal(doneAnswer);
    expect((await freshAnswer).status).to.equal("complete");
    expect(await again).to.deep.equal(await first);
  });
});

describe("claims when entries fail", function () {
  this.timeout(90_000);
  const oracle = new Oracle(
    new Cluster({
      entryZones: ["a", "b", "c", "a"],
      agentZones: ["a", "a", "b", "b", "c"],
    }),
  );
  const { cluster } = oracle;

  before(() => cluster.start());
  after(() => cluster.stop());
  afterEach(() => oracle.check());

  it("refuses a paused entry that was removed and resumes late", async () => {
    // Guards against late dispatches of an entry whose claims were given up.
    const entry = cluster.entries[3] as ClusterProcess;
    const options = { runMs: 1_500, tasks: 100 };
    const first = oracle.submit(3, "paused", options);
    await oracle.waitForStarts(20);
    cluster.pause(entry);
    const again = oracle.submit(0, "paused", options);
    expect((await again).error?.kind).to.equal("coordinator_lost");
    await oracle.waitForRemoval(entry);
    const starts = await cluster.getStarts();
    cluster.resume(entry);
    expect((await first).status).to.equal("failed");
    await sleep(1_000);
    expect(await cluster.getStarts()).to.have.length(starts.length);
  });

  it("answers unknown when the entry was killed", async () => {
    // Guards against a second run in place of a lost coordinator, and against an endless wait for it.
    const first = oracle.submit(0, "entry", { runMs: 1_500 })
      .catch(() => undefined);
    await sleep(300);
    await cluster.kill(cluster.entries[0] as ClusterProcess);
    expect(await first).to.equal(undefined);
    const answer = await oracle.submit(1, "entry", { runMs: 1_500 });
    expect(answer.error?.kind).to.equal("coordinator_lost");
    expect(answer.tasks?.[0]?.outcome).to.equal("unknown");
  });

  it("answers unknown when the entry and the home were killed", async () => {
    // Guards against a claim that only start records still tell about.
    const [key = "", fresh = ""] = await oracle.findKeys(
      cluster.agents[0] as ClusterProcess,
      "both",
      { entry: 1, count: 2 },
    );
    const first = oracle.submit(1, key, { runMs: 1_500 })
      .catch(() => undefined);
    await sleep(300);
    await cluster.kill(cluster.agents[0] as ClusterProcess);
    await cluster.kill(cluster.entries[1] as ClusterProcess);
    expect(await first).to.equal(undefined);
    const answer = await oracle.submit(2, key, { runMs: 1_500 });
    expect(answer.error?.kind).to.equal("coordinator_lost");
    expect((await oracle.submit(2, fresh)).status).to.equal("complete");
  });
});

function sleep(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
