import { expect } from "chai";
import { Cluster, type ClusterProcess } from "../../scripts/lib/cluster.ts";
import { Caller, printCompletedShare, sleep } from "../lib/caller.ts";
import {
  DisconnectingUpstream,
  type DisconnectPoint,
} from "../lib/disconnecting_upstream.ts";

describe("a request that isn't repeatable", function () {
  this.timeout(60_000);
  const cluster = new Cluster({
    entryZones: ["a", "b"],
    agentZones: ["a", "b", "c", "c"],
    persistsTaskStarts: true,
  });
  const disconnecting = new DisconnectingUpstream();
  const caller = new Caller();
  const getEntry = (n: number) => cluster.entries[n % 2] as ClusterProcess;
  const findViolations = async () =>
    caller.oracle.findViolations([
      ...await cluster.getTaskStarts(),
      ...disconnecting.starts,
    ]);

  before(async () => {
    await cluster.start();
    await cluster.publish([{ path: "services.cut", value: {} }]);
    // Replaces the first upstream by the disconnecting one, which alone offers
    // the service "cut".
    const [upstream] = cluster.upstreams as [ClusterProcess];
    const [agent] = cluster.agents as [ClusterProcess];
    await cluster.kill(upstream);
    await disconnecting.start(Number(upstream.httpAddress.split(":")[1]));
    await fetch(`http://${agent.httpAddress}/v1/upstream`, {
      method: "PUT",
      body: JSON.stringify({ services: ["cut"], slots: 8 }),
    });
    await cluster.waitUntilReady();
    for (const entry of cluster.entries) {
      await waitForService(entry, "cut");
    }
  });
  after(async () => {
    await cluster.stop();
    disconnecting.stop();
  });

  async function waitForService(
    entry: ClusterProcess,
    service: string,
  ): Promise<void> {
    for (let n = 0; n < 200; n++) {
      const key = `probe-${service}-${entry.name}-${n}`;
      const { answer } = await caller.submit({ key, entry, service });
      if (answer?.status === "complete") {
        return;
      }
      await sleep(50);
    }
    throw new Error(`${entry.name} doesn't place tasks of ${service}`);
  }

  async function submitTwice(key: string, n: number): Promise<void> {
    const job = { key, service: "cut", deadlineMs: 3_000 };
    await caller.submit({ ...job, entry: getEntry(n) });
    await caller.submit({ ...job, entry: getEntry(n + 1) });
  }

  it("starts once when the upstream disconnects at any byte of the exchange, also when resubmitted", async () => {
    // Guards against retrying a task that may have run before the disconnect.
    const responseBytes = disconnecting.createResponse(
      '{"runMs":20,"id":"cut/0"}',
    );
    const points: DisconnectPoint[] = [];
    for (const closeMode of ["reset", "end"] as const) {
      for (let bytes = 0; bytes < 300; bytes += 3) {
        points.push({ side: "request", bytes, closeMode });
      }
      for (let bytes = 0; bytes < responseBytes.length; bytes += 3) {
        points.push({ side: "response", bytes, closeMode });
      }
    }
    for (const [n, point] of points.entries()) {
      disconnecting.disconnectAt = point;
      await submitTwice(`cut-${n}`, n);
    }
    disconnecting.disconnectAt = undefined;
    expect(await findViolations()).to.deep.equal([]);
    printCompletedShare(
      "disconnected exchanges",
      caller.oracle.submissions.filter(({ key }) => key.startsWith("cut")),
    );
  });

  it("starts once and is answered when the upstream closes idle connections", async () => {
    // Guards against writing a request to a keep-alive connection that the
    // upstream has closed.
    for (let n = 0; n < 50; n++) {
      const job = { key: `idle-${n}`, entry: getEntry(n), service: "cut" };
      const closing = sleep(n % 5).then(() => {
        if (n % 2 === 0) {
          disconnecting.closeIdleConnections();
        }
      });
      await caller.submit({ ...job, repeatable: n % 3 === 0 });
      await closing;
    }
    const jobs = caller.oracle.submissions.filter(({ key }) =>
      key.startsWith("idle")
    );
    expect(await findViolations()).to.deep.equal([]);
    expect(printCompletedShare("closed connections", jobs)).to.equal(1);
  });

  it("starts once when an agent is killed with its upstream", async () => {
    // Guards against placing a task again when its agent is killed after the
    // start.
    let isLoadRunning = true;
    const running = caller.runLoad({
      ...{ prefix: "agent", entries: cluster.entries, intervalMs: 25 },
      ...{ tasks: 3, runMs: 60, shouldContinue: () => isLoadRunning },
    });
    await sleep(700);
    const [, agent] = cluster.agents as [ClusterProcess, ClusterProcess];
    const [, upstream] = cluster.upstreams as [ClusterProcess, ClusterProcess];
    await Promise.all([cluster.kill(agent), cluster.kill(upstream)]);
    await sleep(5_000);
    cluster.restart(agent);
    cluster.restart(upstream);
    await cluster.waitUntilReady();
    isLoadRunning = false;
    const jobs = await running;
    expect(await findViolations()).to.deep.equal([]);
    expect(printCompletedShare("agent killed", jobs)).to.be.above(0.8);
  });

  it("starts once when its entry is killed and the caller resubmits", async () => {
    // Guards against a resubmission that runs tasks again which a killed entry
    // has started.
    const load = { deadlineMs: 6_000, tasks: 3, runMs: 60, prefix: "entry" };
    const running = caller.runLoad({
      ...{ ...load, entries: cluster.entries, intervalMs: 25 },
      shouldContinue: (count) => count < 100,
    });
    await sleep(700);
    const [, entry] = cluster.entries as [ClusterProcess, ClusterProcess];
    await cluster.kill(entry);
    await running;
    await caller.runLoad({
      ...{ ...load, entries: [getEntry(0)], intervalMs: 10 },
      shouldContinue: (count) => count < 100,
    });
    cluster.restart(entry);
    await cluster.waitUntilReady();
    expect(await findViolations()).to.deep.equal([]);
    const jobs = caller.oracle.submissions.slice(-100);
    expect(printCompletedShare("entry killed", jobs)).to.be.above(0.9);
  });

  it("starts once when its entry and then an agent are killed and the caller resubmits", async () => {
    // Guards against a resubmission that runs tasks again which two killed
    // processes have claimed and started.
    const load = { deadlineMs: 6_000, tasks: 3, runMs: 60, prefix: "both" };
    const running = caller.runLoad({
      ...{ ...load, entries: cluster.entries, intervalMs: 25 },
      shouldContinue: (count) => count < 120,
    });
    await sleep(700);
    const [, entry] = cluster.entries as [ClusterProcess, ClusterProcess];
    const [, , agent] = cluster.agents as ClusterProcess[];
    await cluster.kill(entry);
    await sleep(700);
    await cluster.kill(agent as ClusterProcess);
    await running;
    await caller.runLoad({
      ...{ ...load, entries: [getEntry(0)], intervalMs: 25 },
      shouldContinue: (count) => count < 120,
    });
    cluster.restart(entry);
    cluster.restart(agent as ClusterProcess);
    expect(await findViolations()).to.deep.equal([]);
    // Keys of the killed home are held back when an entry and another agent
    // have left before.
    const jobs = caller.oracle.submissions.slice(-120);
    expect(printCompletedShare("both killed", jobs)).to.be.above(0.25);
  });
});
