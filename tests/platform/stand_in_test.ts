import { expect } from "chai";
import {
  StoreStandIn,
  type WorkerEvent,
  WorkerStandIn,
} from "../../platform/stand_in/mod.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { WorkerClient } from "../../platform/worker_client.ts";
import type { LeaseReport } from "../../src/coordination/ports/mod.ts";
import { waitUntil } from "../lib/wait_until.ts";

describe("StoreStandIn", () => {
  let store: StoreStandIn;
  let client: StoreClient;

  beforeEach(async () => {
    store = new StoreStandIn();
    client = new StoreClient(await store.start());
  });

  afterEach(() => store.stop());

  it("keeps the newest record of each key, and deletes a key without a value", async () => {
    await client.append("members", { key: "a", value: "1" });
    await client.append("members", { key: "a", value: "2" });
    await client.append("members", { key: "b", value: "3" });
    await client.append("members", { key: "b", value: "" });
    const page = (await client.readNewest("members"))._unsafeUnwrap();
    expect(page).to.deep.equal({ records: [{ key: "a", value: "2" }], end: 4 });
  });

  it("answers a waiting read as soon as a record is appended", async () => {
    const read = client.readFrom("operator", { from: 0, waitMs: 2_000 });
    const startedAt = performance.now();
    store.publish("config", "{}");
    const page = (await read)._unsafeUnwrap();
    expect(page.records).to.deep.equal([{ key: "config", value: "{}" }]);
    expect(performance.now() - startedAt).to.be.lessThan(2_000);
  });

  it("reports deleted records, and keeps the newest of each key", async () => {
    store.publish("config", "{}");
    store.dropHistory();
    const read = await client.readFrom("operator", { from: 0, waitMs: 0 });
    expect(read._unsafeUnwrapErr().kind).to.equal("not_found");
    const page = (await client.readNewest("operator"))._unsafeUnwrap();
    expect(page.records).to.have.length(1);
  });

  it("executes an append without answering it", async () => {
    store.faults = { losesAnswers: true };
    const lost = await client.append("members", { key: "a", value: "1" });
    expect(lost._unsafeUnwrapErr().kind).to.equal("timeout");
    store.faults = { isUnavailable: true };
    expect((await client.readNewest("members")).isErr()).to.equal(true);
    store.faults = {};
    const page = (await client.readNewest("members"))._unsafeUnwrap();
    expect(page.records).to.have.length(1);
  });
});

describe("WorkerStandIn", () => {
  const events: WorkerEvent[] = [];
  let worker: WorkerStandIn;
  let client: WorkerClient;

  beforeEach(async () => {
    events.length = 0;
    worker = new WorkerStandIn({
      name: "worker",
      service: "render",
      zone: "a",
      cpuMillis: 4_000,
      slowdown: 1,
      clockRate: 1,
      // Nothing listens at this address.
      reportAddress: "127.0.0.1:9",
      findTask: () => ({ cpuMillis: 2_000, runMs: 100 }),
      onEvent: (event) => events.push(event),
    });
    client = new WorkerClient(await worker.start());
  });

  afterEach(() => worker.stop());

  const getOrder = (fence = 1) => ({
    workerId: worker.workerId,
    fence,
    timeoutMs: 300,
  });

  async function startRun(task: string, run: number, fence = 1) {
    const reply = await client.startRun({
      ...getOrder(fence),
      ...{ task, run, spec: "s", leaseUntilMs: 10_000 },
    });
    return reply._unsafeUnwrap().refusal;
  }

  async function readReport(confirmedUpTo = 0, fence = 1) {
    const reply = await client.renewLease({
      ...getOrder(fence),
      ...{ confirmedUpTo, leaseUntilMs: undefined, waitMs: 0 },
    });
    return reply._unsafeUnwrap() as LeaseReport;
  }

  const getEnds = () => events.filter(({ kind }) => kind === "ended");

  it("runs a task once, and lists its end until it is confirmed", async () => {
    expect(await startRun("t", 1)).to.equal(undefined);
    expect(await startRun("t", 1)).to.equal(undefined);
    await waitUntil(() => getEnds().length === 1, "the end");
    expect((await readReport()).ended.map(({ outcome }) => outcome))
      .to.deep.equal(["done"]);
    expect((await readReport(1)).ended).to.deep.equal([]);
    expect(await startRun("t", 1)).to.equal("old_run");
    expect(events.filter(({ kind }) => kind === "started")).to.have.length(1);
  });

  it("refuses a run that exceeds the capacity, a lower fence, and an order for another incarnation", async () => {
    expect(await startRun("t", 1, 5)).to.equal(undefined);
    expect(await startRun("u", 1, 5)).to.equal(undefined);
    expect(await startRun("v", 1, 5)).to.equal("no_room");
    expect(await startRun("w", 1, 4)).to.equal("stale_fence");
    const { workerId } = worker;
    worker.startIncarnation();
    const reply = await client.stopRun({
      ...getOrder(),
      ...{ workerId, task: "t", run: 1 },
    });
    expect(reply._unsafeUnwrap().refusal).to.equal("other_worker");
  });

  it("ends all runs when the lease expires", async () => {
    worker.faults = { stallsRuns: true };
    await startRun("t", 1);
    await waitUntil(() => getEnds().length === 1, "the end");
    expect(getEnds()[0]).to.include({ task: "t", endReason: "lapsed" });
  });

  it("refuses a run whose stop arrived before its start", async () => {
    await client.stopRun({ ...getOrder(), task: "t", run: 2 });
    expect(await startRun("t", 2)).to.equal("old_run");
    expect(await startRun("t", 3)).to.equal(undefined);
  });

  it("executes orders late, without answering them", async () => {
    worker.faults = { ordersLateMs: 400 };
    const reply = await client.startRun({
      ...getOrder(),
      ...{ task: "t", run: 1, spec: "s", leaseUntilMs: 10_000 },
    });
    expect(reply._unsafeUnwrapErr().kind).to.equal("timeout");
    await waitUntil(
      () => events.some((event) => event.kind === "started" && event.isLate),
      "the late start",
    );
  });
});
