/**
 * A job at two entries: its client has gone to the second one, and the first one
 * does not notice.
 */
import "../../lib/compiled_hasher.ts";
import { setTimeout as wait } from "node:timers/promises";
import { expect } from "chai";
import { err, ok } from "neverthrow";
import { BatchAgent } from "../../../src/coordination/batch/agent/mod.ts";
import {
  type BatchAnswer,
  BatchEntry,
} from "../../../src/coordination/batch/entry/mod.ts";
import { createError } from "../../../src/state/errors/mod.ts";
import { Metrics } from "../../../src/state/metrics/mod.ts";
import { ConnectedAgents } from "../../lib/connected_agents.ts";
import { createBatchStep } from "../../lib/create_batch_step.ts";
import { createRoute } from "../../lib/create_route.ts";
import { FakeWorker } from "../../lib/fake_worker.ts";
import { MemoryKeyedStore } from "../../lib/memory_keyed_store.ts";
import { RecordedLog } from "../../lib/recorded_log.ts";
import { waitUntil } from "../../lib/wait_until.ts";

const JOB_ID = "00000000000000aa";

/** Delay after which a client sends its job to another entry. */
const RESEND_DELAY_MS = 1_300;

/** Time from a stop order to the end of its run, in milliseconds. */
const STOP_DELAY_MS = 40;

const AGENT_COUNT = 4;

const ROUTE = createRoute({ maxLateness: 40, latencyTargetMs: 10_000 });

/** Two tasks, so that two of the agents are free. */
const STEPS = [
  createBatchStep({ count: 2, maxPerWorker: 1, expectedMs: 3_000 }),
];

describe("a job at two entries", () => {
  let workers: FakeWorker[];
  let agents: BatchAgent[];
  let entries: BatchEntry[];
  /** Tasks that were started while another run of them was at work. */
  let overlaps: string[];

  beforeEach(async () => {
    overlaps = [];
    workers = Array.from({ length: AGENT_COUNT }, () => new FakeWorker());
    const byAddress = new Map<string, BatchAgent>();
    const peers = new ConnectedAgents(byAddress);
    agents = workers.map((worker, index) => createAgent(worker, index, peers));
    const store = new MemoryKeyedStore();
    agents.forEach((agent, index) => {
      const member = { name: `agent-${index}`, address: getAddress(index) };
      byAddress.set(member.address, agent);
      store.add(
        "members",
        member.name,
        JSON.stringify({ ...member, zone: "a" }),
      );
    });
    const logs = [new RecordedLog(), new RecordedLog()];
    entries = logs.map((log, index) =>
      new BatchEntry({
        ...{ name: `entry-${index}`, incarnation: "i", store, peers, log },
        ...{ metrics: new Metrics(), farFactor: 1.5 },
        parseOperatorRecord: () => ok({ kind: "other" }),
      })
    );
    entries.forEach((entry) => entry.start());
    await waitUntil(
      () => logs.every((log) => log.count("worker_status") === AGENT_COUNT),
      "all agents are connected",
    );
  });

  afterEach(async () => {
    entries.forEach((entry) => entry.stop());
    workers.flatMap((worker) => [...worker.running.keys()])
      .forEach((task) => endTask(task));
    await Promise.all(agents.map((agent) => agent.stop()));
  });

  function createAgent(
    worker: FakeWorker,
    index: number,
    peers: ConnectedAgents,
  ): BatchAgent {
    worker.stopDelayMs = STOP_DELAY_MS;
    worker.onStart = (task) => {
      if (
        workers.some((other) => other !== worker && other.running.has(task))
      ) {
        overlaps.push(task);
      }
    };
    const agent = new BatchAgent({
      ...{ name: `agent-${index}`, incarnation: "i", zone: "a", peers },
      address: getAddress(index),
      ...{ store: new MemoryKeyedStore(), control: worker, maxLeaseMs: 1_000 },
      ...{ log: new RecordedLog(), metrics: new Metrics() },
      parseOperatorRecord: () => err(createError("internal", "no record")),
    });
    agent.start();
    agent.runner.handleWorkerReport({
      ...{ workerId: worker.workerId, bornAtMs: 1_000, sequence: 1 },
      ...{ service: "s", zone: "a", isDraining: false, labels: [], rack: "" },
      remainingMs: undefined,
      capacity: { cpuMillis: 2_000, memoryMb: 1_000, gpus: 0 },
    });
    return agent;
  }

  function submitJob(entryIndex: number): { answer?: BatchAnswer } {
    const submitted: { answer?: BatchAnswer } = {};
    void entries[entryIndex]?.runJob({
      job: { id: JOB_ID, spec: "x", steps: STEPS },
      route: ROUTE,
      timeLeftMs: 10_000,
      signal: new AbortController().signal,
    }).then((answer) => submitted.answer = answer);
    return submitted;
  }

  function countRunning(): number {
    return workers.flatMap((worker) => [...worker.running.keys()]).length;
  }

  function endTask(task: string): void {
    workers.forEach((worker) => worker.endRun(task, "done"));
  }

  it("is run by the second one alone after the runs of the first one", async () => {
    // Guards against a job that both entries run when the first one can't notice
    // that its client has gone.
    const first = submitJob(0);
    await waitUntil(() => countRunning() === 2, "the tasks are started");
    await wait(RESEND_DELAY_MS);
    const second = submitJob(1);
    await waitUntil(() => first.answer !== undefined, "the first one gives up");
    await wait(STOP_DELAY_MS + 200);
    expect(countRunning()).to.equal(2);
    expect(workers.flatMap(({ starts }) => starts)).to.have.length(4);
    expect(overlaps).to.deep.equal([]);
    [0, 1].forEach((index) => endTask(`${JOB_ID}.0.0.${index}`));
    await waitUntil(() => second.answer !== undefined, "the second answer");
    expect(second.answer).to.deep.equal({ kind: "completed" });
  });

  it("is not answered as not run by the entry that has run tasks of it", async () => {
    // Guards against a refusal by each entry of a job that has run.
    const first = submitJob(0);
    await waitUntil(() => countRunning() === 2, "the tasks are started");
    await wait(RESEND_DELAY_MS);
    submitJob(1);
    await waitUntil(() => first.answer !== undefined, "the first one gives up");
    expect(first.answer).to.deep.equal({
      kind: "error",
      error: "cancelled_running",
    });
  });

  it("is not started again by its entry when it is cancelled through another one", async () => {
    // Guards against tasks that run on after an acknowledged cancel.
    const job = submitJob(0);
    await waitUntil(() => countRunning() === 2, "the tasks are started");
    entries[1]?.cancelJob(JOB_ID);
    await wait(STOP_DELAY_MS + 200);
    expect(job.answer).to.deep.equal({ kind: "error", error: "cancelled" });
    expect(countRunning()).to.equal(0);
    expect(workers.flatMap(({ starts }) => starts)).to.have.length(2);
  });
});

function getAddress(agentIndex: number): string {
  return `10.0.0.${agentIndex}:1`;
}
