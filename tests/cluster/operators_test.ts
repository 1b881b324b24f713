import { expect } from "chai";
import { execFile } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import { Cluster } from "../../scripts/lib/cluster.ts";

interface CtlRun {
  code: number;
  value: Record<string, unknown>;
}

function runCtl(cluster: Cluster, ...args: string[]): Promise<CtlRun> {
  const path = new URL("../../src/bin/ctl.js", import.meta.url).pathname;
  const common = ["--json", "--log", cluster.logAddress, "--operator", "test"];
  return new Promise((resolve) => {
    execFile(process.execPath, [path, ...args, ...common], (error, stdout) => {
      const code = typeof error?.code === "number" ? error.code : 0;
      resolve({ code, value: JSON.parse(stdout) });
    });
  });
}

describe("operators", function () {
  this.timeout(60_000);
  const cluster = new Cluster({
    entryZones: ["a", "b"],
    agentZones: ["a", "b", "c"],
    hasRelays: true,
  });

  before(() => cluster.start());
  after(() => cluster.stop());

  it("accepts one of two concurrent changes, and tells the other operator which revision was accepted", async () => {
    // Guards against telling both operators that their value is in force.
    const { value } = await runCtl(cluster, "settings", "get");
    const base = ["--base", String(value["revision"])];
    const runs = await Promise.all(
      ["1", "2"].map((priority) =>
        runCtl(cluster, "settings", "set", "rules.priority", priority, ...base)
      ),
    );
    const acceptedRun = runs.find(({ code }) => code === 0);
    const rejectedRun = runs.find(({ code }) => code === 3);
    expect(acceptedRun?.value).to.deep.include({
      status: "in force",
      unconfirmed: [],
    });
    expect(rejectedRun?.value["winner"]).to.equal(
      acceptedRun?.value["revision"],
    );
    expect(rejectedRun?.value["winnerOperator"]).to.equal("test");
  });

  it("finds out that a change was appended although the reply was lost, and writes it only once", async () => {
    await cluster.setLogFaults({ lostReplies: 1 });
    const { code, value } = await runCtl(
      cluster,
      ...["settings", "set", "services.echo.rules.deadlineMs", "9000"],
    );
    expect(code).to.equal(0);
    const response = await fetch(
      `http://${cluster.logAddress}/v1/records?from=1`,
    );
    const { records } = await response.json() as {
      records: { record: { id?: string } }[];
    };
    const id = value["changeId"];
    expect(records.filter(({ record }) => record.id === id)).to.have.length(1);
  });

  it("puts a change in force although no process can read it from the log", async () => {
    // Guards against processes that go on with the older settings, as they may
    // during an outage of the log, when the log fails right after the append.
    const members = [...cluster.entries, ...cluster.agents];
    members.forEach(({ logRelay }) => logRelay?.setMode({ type: "refuse" }));
    const { code, value } = await runCtl(cluster, "zone", "out", "c");
    expect([code, value["unconfirmed"]]).to.deep.equal([0, []]);
    members.forEach(({ logRelay }) => logRelay?.setMode({ type: "pass" }));
    expect((await runCtl(cluster, "zone", "in", "c")).code).to.equal(0);
  });

  it("reports that a zone is out of service only after every member has applied the change", async () => {
    // Guards against reporting "in force" while an agent of the zone may still
    // start tasks.
    const { code, value } = await runCtl(cluster, "zone", "out", "b");
    expect(code).to.equal(0);
    for (const member of [...cluster.entries, ...cluster.agents]) {
      const { revision } = await cluster.getView(member);
      expect(revision).to.be.at.least(value["revision"] as number);
    }
    expect((await runCtl(cluster, "zone", "in", "b")).code).to.equal(0);
    expect((await runCtl(cluster, "zone", "out", "bb")).code).to.equal(6);
  });

  it("submits a job, and merges the events of all processes", async () => {
    // Guards against a timeline that shows an effect before its cause.
    const file = join(cluster.folder, "job.json");
    const tasks = [{ body: '{"runMs":10}' }, { body: '{"runMs":10}' }];
    writeFileSync(file, JSON.stringify({ service: "echo", tasks }));
    const run = await runCtl(cluster, "submit", file, "--key", "0123");
    expect([run.code, run.value["status"]]).to.deep.equal([0, "complete"]);
    const { value } = await runCtl(cluster, "timeline", "0123");
    const types = (value["events"] as { type: string }[]).map(({ type }) =>
      type
    );
    const order = [
      "submission_received",
      "claim_answered",
      "claim_granted",
      "task_started",
      "task_ended",
      "submission_answered",
    ].map((type) => types.indexOf(type));
    expect(order).to.deep.equal(order.toSorted((a, b) => a - b));
    expect(order[0]).to.equal(0);
  });

  it("refuses an unknown service, and counts the refusal in the metrics", async () => {
    // Guards against a refusal with a wrong status code, or one that the
    // metrics don't show.
    const address = cluster.entries[0]!.httpAddress;
    const response = await fetch(`http://${address}/v1/requests/nothing`, {
      method: "POST",
      headers: { "idempotency-key": "unknown-service" },
      body: "x",
    });
    expect(response.status).to.equal(404);
    expect(response.headers.get("x-error-kind")).to.equal("unknown_service");
    const metrics = await fetch(`http://${address}/metrics`);
    expect(await metrics.text()).to.include(
      'cranberrybank_submissions_total{result="unknown_service"} 1',
    );
  });

  it("exits with the exit code that belongs to the cause of an error", async () => {
    const runs = await Promise.all([
      runCtl(cluster, "settings", "set", "rules.timeout", "5"),
      runCtl(cluster, "settings", "get", "rules.hedging"),
      runCtl(cluster, "cancel", "no-such-key"),
      runCtl(cluster, "submit", "--service", "nothing"),
      runCtl(cluster, "submit", "/no/such/file"),
    ]);
    expect(runs.map(({ code }) => code)).to.deep.equal([2, 6, 6, 6, 2]);
  });

  it("checks the edits of a file without publishing them", async () => {
    // Guards against a check that changes the settings, or disagrees with "apply".
    const file = "docs/examples/edits.json";
    const before = await runCtl(cluster, "settings", "get");
    const check = await runCtl(cluster, "settings", "check", file);
    const after = await runCtl(cluster, "settings", "get");
    expect(check.code).to.equal(0);
    expect(check.value["differences"]).to.have.length.above(0);
    expect(after.value["revision"]).to.equal(before.value["revision"]);
    const missing = await runCtl(cluster, "settings", "check", "/no/such/file");
    expect(missing.code).to.equal(2);
  });
});

describe("retention and outages of the log", function () {
  this.timeout(60_000);
  const cluster = new Cluster({
    entryZones: ["a", "b"],
    agentZones: ["a", "b"],
    logStandInArgs: ["--retained", "60"],
    processSettings: { snapshotIntervalMs: 1_000 },
  });

  before(() => cluster.start());
  after(() => cluster.stop());

  /**
   * Publishes changes at a rate that running processes can follow, and gets the
   * last revision.
   */
  async function publishChanges(count: number): Promise<number> {
    let revision = 0;
    for (let n = 0; n < count; n++) {
      const edit = { path: "rules.priority", value: n % 9 };
      revision = await cluster.publish([edit]);
      await new Promise((resolve) => setTimeout(resolve, 40));
    }
    return revision;
  }

  async function getStatus(address: string, path: string): Promise<number> {
    const response = await fetch(`http://${address}${path}`);
    await response.arrayBuffer();
    return response.status;
  }

  it("lets an instance start after the first records have been deleted", async () => {
    // Guards against a new instance that works with outdated settings, or never
    // becomes ready.
    const revision = await publishChanges(100);
    const added = await cluster.addEntry("b");
    await cluster.waitUntilReady();
    const view = await cluster.getView(added);
    expect(view.revision).to.equal(revision);
    expect(view.members).to.have.length(5);
    const { code, value } = await runCtl(cluster, "settings", "get");
    expect([code, value["revision"]]).to.deep.equal([0, revision]);
  });

  it("lets a paused agent continue after records that it hasn't read were deleted", async () => {
    // Guards against a process that waits for deleted records, or works with
    // outdated settings.
    const paused = cluster.agents[1]!;
    const before = await cluster.getView(paused);
    cluster.pause(paused);
    const revision = await publishChanges(100);
    cluster.resume(paused);
    let view = before;
    while (view.revision < revision) {
      const next = await cluster.getView(paused);
      expect(next.revision).to.be.at.least(view.revision);
      view = next;
    }
    await cluster.waitUntilReady();
  });

  it("keeps an instance that starts during an outage not ready until the log is back", async () => {
    // Guards against an instance that works without settings, or exits.
    await cluster.setLogFaults({ isDown: true });
    const started = await cluster.addEntry("a");
    const { httpAddress } = started;
    while (await getStatus(httpAddress, "/healthz").catch(() => 0) !== 200) {
      await new Promise((resolve) => setTimeout(resolve, 50));
    }
    await new Promise((resolve) => setTimeout(resolve, 1_000));
    expect(await getStatus(httpAddress, "/readyz")).to.equal(503);
    const { code } = await runCtl(cluster, "status", "--timeout", "1");
    expect(code).to.equal(4);
    // Guards against operators who can't see the status during an outage.
    const { httpAddress: runningAddress } = cluster.entries[0]!;
    const status = await runCtl(cluster, "status", "--process", runningAddress);
    expect(status.code).to.equal(0);
    expect(status.value["members"]).to.have.length(5);
    await cluster.setLogFaults({});
    await cluster.waitUntilReady();
    expect(await getStatus(httpAddress, "/readyz")).to.equal(200);
  });
});
