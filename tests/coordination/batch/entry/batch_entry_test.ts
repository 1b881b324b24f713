import { setTimeout as wait } from "node:timers/promises";
import { expect } from "chai";
import { ok } from "neverthrow";
import {
  type BatchAnswer,
  BatchEntry,
} from "../../../../src/coordination/batch/entry/mod.ts";
import type { BatchJob } from "../../../../src/state/batch/mod.ts";
import { Metrics } from "../../../../src/state/metrics/mod.ts";
import { createBatchStep } from "../../../lib/create_batch_step.ts";
import { createRoute } from "../../../lib/create_route.ts";
import { FakeAgentPeers } from "../../../lib/fake_agent_peers.ts";
import { MemoryKeyedStore } from "../../../lib/memory_keyed_store.ts";
import { RecordedLog } from "../../../lib/recorded_log.ts";
import { waitUntil } from "../../../lib/wait_until.ts";

const JOB_ID = "00000000000000aa";

/** Longest time after the start for which jobs are held, in milliseconds. */
const MAX_HOLD_MS = 800;

/** Levels of nesting at which recursive code overflows the stack. */
const DEPTH = 100_000;

const ROUTE = createRoute({ timeoutMs: 5_000 });

const AGENTS = [
  { name: "agent-1", address: "10.0.0.1:1", zone: "a" },
  { name: "agent-2", address: "10.0.0.2:1", zone: "a" },
];
type Agent = (typeof AGENTS)[number];
const [FIRST, SECOND] = AGENTS as [Agent, Agent];

/** Longest time for which links are cut or workers away, in milliseconds. */
const MAX_CUT_MS = 5_500;

/**
 * Time after which an agent that can't be heard counts as one without a worker, in
 * milliseconds, and some more.
 */
const UNKNOWN_WORKER_MS = 8_500;

describe("BatchEntry", () => {
  let store: MemoryKeyedStore;
  let peers: FakeAgentPeers;
  let log: RecordedLog;
  let entry: BatchEntry;

  beforeEach(() => {
    store = new MemoryKeyedStore();
    peers = new FakeAgentPeers();
    log = new RecordedLog();
    entry = new BatchEntry({
      ...{ name: "entry-1", incarnation: "i", store, peers, log },
      ...{ metrics: new Metrics(), farFactor: 1.5 },
      parseOperatorRecord: () => ok({ kind: "other" }),
    });
    for (const agent of AGENTS) {
      store.add("members", agent.name, JSON.stringify(agent));
    }
    entry.start();
  });

  afterEach(() => entry.stop());

  function submitJob(signal: AbortSignal): { answer?: BatchAnswer } {
    const submitted: { answer?: BatchAnswer } = {};
    const job = { id: JOB_ID, spec: "x", steps: [createBatchStep()] };
    void entry.runJob({ job, route: ROUTE, timeLeftMs: 5_000, signal })
      .then((answer) => submitted.answer = answer);
    return submitted;
  }

  /** Connects one of two agents, so that jobs are held for the other one. */
  async function connectFirstAgent(): Promise<void> {
    await waitUntil(
      () => peers.hasStream(FIRST.address),
      "the entry opens a stream",
    );
    peers.sendStatus(FIRST.address, { name: FIRST.name });
    await waitUntil(() => log.count("worker_status") === 1, "the status");
  }

  describe("a job that is held at the start of the entry", () => {
    it("is not run when its client disconnects meanwhile", async () => {
      // Guards against a job that runs at two entries when it is sent again.
      await connectFirstAgent();
      const client = new AbortController();
      const job = submitJob(client.signal);
      await wait(50);
      client.abort();
      await waitUntil(() => job.answer !== undefined, "the job is answered");
      expect(job.answer).to.deep.equal({ kind: "error", error: "cancelled" });
      await wait(MAX_HOLD_MS);
      expect(peers.getStarts(FIRST.address)).to.have.length(0);
      expect(entry.openJobCount).to.equal(0);
    });

    it("is not run when its client has disconnected before", async () => {
      await connectFirstAgent();
      const job = submitJob(AbortSignal.abort());
      await wait(MAX_HOLD_MS);
      expect(job.answer).to.deep.equal({ kind: "error", error: "cancelled" });
      expect(peers.getStarts(FIRST.address)).to.have.length(0);
    });

    it("is found and cancelled by a cancel request", async () => {
      await connectFirstAgent();
      const job = submitJob(new AbortController().signal);
      expect(entry.cancelJob(JOB_ID)).to.equal(true);
      await wait(MAX_HOLD_MS);
      expect(job.answer).to.deep.equal({ kind: "error", error: "cancelled" });
      expect(peers.getStarts(FIRST.address)).to.have.length(0);
    });

    it("is run once when it is submitted a second time", async () => {
      await connectFirstAgent();
      submitJob(new AbortController().signal);
      submitJob(new AbortController().signal);
      await wait(MAX_HOLD_MS + 100);
      expect(peers.getStarts(FIRST.address)).to.have.length(1);
    });
  });

  describe("a job that fits on no known worker", () => {
    const TOO_LARGE = { cpuMillis: 99_000, memoryMb: 1, gpus: 0 };

    async function runTooLargeJob(): Promise<BatchAnswer> {
      const steps = [createBatchStep({ resources: TOO_LARGE })];
      return await entry.runJob({
        job: { id: JOB_ID, spec: "x", steps },
        ...{ route: ROUTE, timeLeftMs: 5_000 },
        signal: new AbortController().signal,
      });
    }

    it("is not failed while the worker of another agent isn't known", async () => {
      // Guards against jobs that are failed for good after a restart of all processes,
      // since the agents with the workers that fit have not been heard yet.
      await connectFirstAgent();
      expect(await runTooLargeJob()).to.include({ error: "no_capacity" });
    });

    it("is not failed while an agent can't be heard for as long as a link is cut", async () => {
      await connectFirstAgent();
      await wait(MAX_CUT_MS);
      expect(await runTooLargeJob()).to.include({ error: "no_capacity" });
    });

    it("is not failed while an agent has been up for less than a crashed worker is away", async () => {
      await connectFirstAgent();
      await sendAgentWithoutWorker(MAX_CUT_MS);
      expect(await runTooLargeJob()).to.include({ error: "no_capacity" });
    });

    it("is failed when all other agents have had no worker for long", async () => {
      await connectFirstAgent();
      await sendAgentWithoutWorker(60_000);
      expect(await runTooLargeJob()).to.deep.equal({ kind: "failed" });
    });

    it("is failed when all other agents could not be reached for long", async () => {
      await connectFirstAgent();
      await wait(UNKNOWN_WORKER_MS);
      expect(await runTooLargeJob()).to.deep.equal({ kind: "failed" });
    });

    it("is failed when the workers of all agents are known", async () => {
      await connectFirstAgent();
      peers.sendStatus(SECOND.address, { name: SECOND.name });
      await waitUntil(() => log.count("worker_status") === 2, "the status");
      expect(await runTooLargeJob()).to.deep.equal({ kind: "failed" });
    });

    async function sendAgentWithoutWorker(uptimeMs: number): Promise<void> {
      const { address, name } = SECOND;
      await waitUntil(() => peers.hasStream(address), "a stream");
      peers.sendAgentWithoutWorker(address, { name, uptimeMs });
      await waitUntil(() => log.count("worker_status") === 2, "its status");
    }
  });

  it("tells the agent on which worker it has placed the tasks", async () => {
    // Guards against starts on a worker that has replaced that one (review/14).
    await connectFirstAgent();
    submitJob(new AbortController().signal);
    await waitUntil(
      () => peers.getStarts(FIRST.address).length === 1,
      "the task is sent",
    );
    const [order] = peers.getStarts(FIRST.address);
    expect(order?.workerRevision).to.equal(peers.workerRevision);
  });

  it("runs a job on for its second caller when the first one disconnects", async () => {
    // Guards against a caller that is refused because an earlier connection ended.
    await connectFirstAgent();
    const first = new AbortController();
    submitJob(first.signal);
    const second = submitJob(new AbortController().signal);
    await waitUntil(
      () => peers.getStarts(FIRST.address).length === 1,
      "the task is sent",
    );
    first.abort();
    const [order] = peers.getStarts(FIRST.address);
    const { task, run } = order?.runs[0] as { task: string; run: number };
    const end = { task, run, outcome: "done", runMs: 1, detail: "" };
    peers.sendBody(FIRST.address, { case: "runEnds", value: { ends: [end] } });
    await waitUntil(() => second.answer !== undefined, "the job is answered");
    expect(second.answer).to.deep.equal({ kind: "completed" });
  });

  it("keeps a live agent when another writer leaves an unusable record under its name", async () => {
    // Guards against an agent that gets no tasks any more until it is restarted.
    await connectFirstAgent();
    const records = [
      JSON.stringify({ ...FIRST, address: "127.0.0.1:99999" }),
      JSON.stringify({ ...FIRST, address: "127.0.0.1:1e400" }),
      JSON.stringify({ ...FIRST, zone: 1e300 }),
      `{"name":"agent-1","zone":${"[".repeat(DEPTH)}${"]".repeat(DEPTH)}}`,
      "1e999",
      "not JSON",
    ];
    for (const record of records) {
      store.add("members", FIRST.name, record);
    }
    await waitUntil(
      () => log.count("record_unreadable") === records.length,
      "the records are refused",
    );
    submitJob(new AbortController().signal);
    await waitUntil(
      () => peers.getStarts(FIRST.address).length === 1,
      "the agent gets a task",
    );
  });

  it("keeps a live agent when another writer replaces or deletes its record, and asks it to announce itself", async () => {
    // Guards against an agent that entries give up, or can't find after a start.
    await connectFirstAgent();
    const closed = JSON.stringify({ ...FIRST, address: "127.0.0.1:9" });
    for (const [index, value] of [closed, undefined, "odd"].entries()) {
      store.add("members", FIRST.name, value);
      await waitUntil(
        () => peers.countSent(FIRST.address, "announce") === index + 1,
        "the entry asks for an announcement",
      );
    }
    expect(peers.hasStream("127.0.0.1:9")).to.equal(false);
    submitJob(new AbortController().signal);
    await waitUntil(
      () => peers.getStarts(FIRST.address).length === 1,
      "the agent gets a task",
    );
  });

  it("connects to the new address of an agent when its stream is lost", async () => {
    await connectFirstAgent();
    const moved = { ...FIRST, address: "10.0.0.3:1" };
    store.add("members", FIRST.name, JSON.stringify(moved));
    await waitUntil(
      () => peers.countSent(FIRST.address, "announce") === 1,
      "the entry has read the record",
    );
    peers.closeStream(FIRST.address);
    await waitUntil(
      () => peers.hasStream(moved.address),
      "the entry connects to the new address",
    );
  });

  it("forgets a job whose start failed, and reports the failure to its caller", async () => {
    // Guards against a caller that waits in vain, and a job that can't be sent again.
    await connectFirstAgent();
    const steps = [{ ...createBatchStep(), resources: undefined }];
    const job = { id: JOB_ID, spec: "x", steps } as unknown as BatchJob;
    const { signal } = new AbortController();
    let message = "";
    await entry.runJob({ job, route: ROUTE, timeLeftMs: 5_000, signal })
      .catch((error: Error) => message = error.message);
    expect(message).to.contain("undefined");
    expect(entry.openJobCount).to.equal(0);
  });
});
