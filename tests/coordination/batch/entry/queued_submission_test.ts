/**
 * Submissions that wait for the processor time of their entry. Two in one turn of the
 * event loop are enough: the first is handled at once, the second one waits.
 */
import { setTimeout as wait } from "node:timers/promises";
import { expect } from "chai";
import { ok } from "neverthrow";
import {
  type BatchAnswer,
  BatchEntry,
} from "../../../../src/coordination/batch/entry/mod.ts";
import { Metrics } from "../../../../src/state/metrics/mod.ts";
import { createBatchStep } from "../../../lib/create_batch_step.ts";
import { createRoute } from "../../../lib/create_route.ts";
import { FakeAgentPeers } from "../../../lib/fake_agent_peers.ts";
import { MemoryKeyedStore } from "../../../lib/memory_keyed_store.ts";
import { RecordedLog } from "../../../lib/recorded_log.ts";
import { waitUntil } from "../../../lib/wait_until.ts";

const AGENT = { name: "agent-1", address: "10.0.0.1:1", zone: "a" };
const URGENT = createRoute({ priority: 0 });
const BATCH = createRoute({ name: "batch", priority: 1 });

/** Time that an entry needs to find its agents, and to place a job, in ms. */
const SETTLE_MS = 900;

describe("a submission that waits for the processor time of its entry", () => {
  let store: MemoryKeyedStore;
  let log: RecordedLog;
  let peers: FakeAgentPeers;
  let entry: BatchEntry;
  let parsed: string[];
  let lastParsedAt = 0;

  beforeEach(async () => {
    store = new MemoryKeyedStore();
    peers = new FakeAgentPeers();
    parsed = [];
    store.add("members", AGENT.name, JSON.stringify(AGENT));
    await startEntry("i");
  });

  async function startEntry(incarnation: string): Promise<void> {
    const streams = peers.countOpened(AGENT.address);
    log = new RecordedLog();
    entry = new BatchEntry({
      ...{ name: "entry-1", incarnation, store, peers, log },
      ...{ metrics: new Metrics(), farFactor: 1.5, ordersIntake: true },
      parseOperatorRecord: () => ok({ kind: "other" }),
    });
    entry.start();
    await waitUntil(
      () => peers.countOpened(AGENT.address) > streams,
      "a stream",
    );
    peers.sendStatus(AGENT.address, { name: AGENT.name });
    await waitUntil(() => log.count("worker_status") === 1, "the status");
    await wait(SETTLE_MS);
  }

  afterEach(() => entry.stop());

  function submit(
    jobId: string,
    { signal = new AbortController().signal, route = URGENT, parseMs = 0 } = {},
  ): { answer?: BatchAnswer } {
    const submitted: { answer?: BatchAnswer } = {};
    void entry.submitJob({
      ...{ jobId, route, signal, caller: "a", timeLeftMs: 9_000 },
      parseJob: () => {
        parsed.push(jobId);
        lastParsedAt = performance.now();
        const endsAt = performance.now() + parseMs;
        while (performance.now() < endsAt);
        return ok({ id: jobId, spec: "x", steps: [createBatchStep()] });
      },
    }).then((answer) => submitted.answer = answer._unsafeUnwrap());
    return submitted;
  }

  function getOrderedJobs(): string[] {
    return peers.getStarts(AGENT.address).map(({ jobId }) => jobId);
  }

  it("is known, counts as open and is run", async () => {
    // Guards against an entry that ends, or answers 410, while requests wait.
    submit("aa");
    submit("bb");
    expect(parsed).to.deep.equal(["aa"]);
    expect(entry.hasJob("bb")).to.equal(true);
    expect(entry.openJobCount).to.equal(2);
    await waitUntil(() => getOrderedJobs().length === 2, "both are placed");
  });

  it("is run once when it is sent again while it waits, and joins a running job", async () => {
    submit("aa");
    submit("bb");
    submit("bb");
    submit("aa");
    expect(entry.openJobCount).to.equal(2);
    await wait(SETTLE_MS);
    expect(getOrderedJobs()).to.deep.equal(["aa", "bb"]);
    expect(parsed.filter((jobId) => jobId === "aa")).to.have.length(1);
  });

  it("is placed before the next one is parsed", async () => {
    // Guards against a request whose placement waits for the parsing of others.
    submit("aa");
    submit("bb");
    submit("cc");
    let placedBefore = 0;
    void entry.submitJob({
      ...{ jobId: "dd", route: BATCH, caller: "a", timeLeftMs: 9_000 },
      signal: new AbortController().signal,
      parseJob: () => {
        placedBefore = log.count("job_admission");
        return ok({ id: "dd", spec: "x", steps: [createBatchStep()] });
      },
    });
    await waitUntil(() => getOrderedJobs().includes("dd"), "it is placed");
    expect(placedBefore).to.equal(3);
  });

  it("is not run by an entry that ends, and once by the next one", async () => {
    // Guards against an order for a job whose client has sent it elsewhere.
    submit("aa");
    submit("bb");
    entry.stop();
    await wait(50);
    expect(parsed).to.deep.equal(["aa"]);
    await startEntry("j");
    submit("bb");
    await waitUntil(() => getOrderedJobs().includes("bb"), "it is placed");
    expect(getOrderedJobs().filter((jobId) => jobId === "bb"))
      .to.have.length(1);
  });

  it("is not run when its client has gone", async () => {
    // Guards against a job that runs here and at the entry where it is sent next.
    const client = new AbortController();
    submit("aa");
    const job = submit("bb", { signal: client.signal });
    client.abort();
    await wait(SETTLE_MS);
    expect(job.answer).to.deep.equal({ kind: "error", error: "cancelled" });
    expect(getOrderedJobs()).to.deep.equal(["aa"]);
    expect(parsed).to.deep.equal(["aa"]);
  });

  it("is cancelled by a cancel request", async () => {
    submit("aa");
    const job = submit("bb");
    expect(entry.cancelJob("bb")).to.equal(true);
    await wait(SETTLE_MS);
    expect(job.answer).to.deep.equal({ kind: "error", error: "cancelled" });
    expect(getOrderedJobs()).to.deep.equal(["aa"]);
    expect(entry.cancelJob("bb")).to.equal(false);
  });

  it("is as old as its wait when agents compare it with other submissions", async () => {
    // Guards against a submission that counts as later than the one that a client has
    // sent elsewhere meanwhile. The turns of the event loop are short all the time.
    submit("aa");
    submit("bb", { route: BATCH });
    const readBefore = performance.now();
    for (let number = 10; number < 50; number++) {
      submit(`u${number}`, { parseMs: 10 });
    }
    await waitUntil(() => parsed.includes("bb"), "its turn comes");
    const waitedMs = lastParsedAt - readBefore;
    await waitUntil(() => getOrderedJobs().includes("bb"), "it is placed");
    const start = peers.getStarts(AGENT.address)
      .find(({ jobId }) => jobId === "bb");
    expect(waitedMs).to.be.greaterThan(100);
    expect(start?.ageMs).to.be.at.least(Math.floor(waitedMs) - 1);
  });
});
