import { expect } from "chai";
import { err } from "neverthrow";
import { BatchAgent } from "../../../../src/coordination/batch/agent/mod.ts";
import type { BatchBody } from "../../../../src/coordination/messages/mod.ts";
import { createError } from "../../../../src/state/errors/mod.ts";
import { Metrics } from "../../../../src/state/metrics/mod.ts";
import { FakeAgentPeers } from "../../../lib/fake_agent_peers.ts";
import { FakeWorker } from "../../../lib/fake_worker.ts";
import { MemoryStream } from "../../../lib/memory_stream.ts";
import { RecordedLog } from "../../../lib/recorded_log.ts";
import { waitUntil } from "../../../lib/wait_until.ts";

const JOB_ID = "00000000000000aa";
const TASK = `${JOB_ID}.0.0.0`;

const unreachable = () =>
  Promise.resolve(err(createError("log_unreachable", "no store")));

const START_RUNS: BatchBody = {
  case: "startRuns",
  value: {
    ...{ batch: 1, jobId: JOB_ID, route: "r", spec: "x" },
    ...{ ageMs: 0, priority: 0, timeLeftMs: 5_000, targetLeftMs: 5_000 },
    ...{ claimNumber: 0, awaitedHomes: 0 },
    runs: [{
      ...{ task: TASK, run: 1, cpuMillis: 2_000, memoryMb: 1, gpus: 0 },
      ...{
        expectedMs: 100,
        crashes: 0,
        crashedAfterMs: 0,
        canBeDeclined: false,
      },
    }],
  },
};

describe("an agent that stops a run", () => {
  let log: RecordedLog;
  let agent: BatchAgent;
  let owner: MemoryStream;

  beforeEach(async () => {
    const worker = new FakeWorker();
    log = new RecordedLog();
    agent = new BatchAgent({
      ...{ name: "agent-1", incarnation: "i", zone: "a", address: "x" },
      ...{ control: worker, maxLeaseMs: 1_000, log, metrics: new Metrics() },
      store: {
        readNewest: unreachable,
        readFrom: unreachable,
        append: unreachable,
      },
      peers: new FakeAgentPeers(),
      parseOperatorRecord: () => err(createError("internal", "no record")),
    });
    agent.start();
    agent.runner.handleWorkerReport({
      ...{ workerId: "w-1", bornAtMs: 1_000, sequence: 1, service: "s" },
      ...{
        zone: "a",
        isDraining: false,
        remainingMs: undefined,
        labels: [],
        rack: "",
      },
      capacity: { cpuMillis: 4_000, memoryMb: 1_000, gpus: 0 },
    });
    await waitUntil(() => agent.runner.acceptsWork, "the agent accepts work");
    owner = openStream("entry-1", 1);
    sendBody(owner, START_RUNS);
    await waitUntil(() => worker.running.has(TASK), "the run has started");
  });

  afterEach(() => agent.stop());

  function openStream(name: string, number: number): MemoryStream {
    const stream = new MemoryStream();
    void agent.serve(stream);
    const hello = { name, incarnation: "i", stream: number, uptimeMs: 0 };
    sendBody(stream, { case: "hello", value: hello });
    return stream;
  }

  function sendBody(stream: MemoryStream, kind: BatchBody): void {
    const now = Math.floor(performance.now());
    stream.received.add({ sentAtMs: now, echoAtMs: now, kind });
  }

  async function expectStop(
    stopReason: string,
    stoppedBy = "entry-1",
  ): Promise<void> {
    await waitUntil(() => log.count("run_ended") === 1, "the run has ended");
    const end = log.events.find(({ event }) => event === "run_ended");
    expect(end?.fields).to.include({
      ...{ job: JOB_ID, outcome: "stopped", stopReason, stoppedBy },
    });
  }

  it("logs the stop order of its entry", async () => {
    sendBody(owner, { case: "stopRuns", value: { tasks: [TASK] } });
    await expectStop("ordered");
  });

  it("logs that its stream has ended", async () => {
    owner.close();
    await expectStop("entry_lost");
  });

  it("logs that its entry acknowledges nothing", async () => {
    await expectStop("entry_silent");
  });

  it("logs that its entry has opened another stream", async () => {
    openStream("entry-1", 2);
    await expectStop("entry_reconnected");
  });

  it("logs the cancel of a client, and through which entry it came", async () => {
    const value = { jobId: JOB_ID, reason: "requested" } as const;
    sendBody(openStream("entry-2", 1), { case: "cancelJob", value });
    await expectStop("cancelled", "entry-2");
  });

  it("logs that another entry has a later submission", async () => {
    const value = { jobId: JOB_ID, reason: "superseded" } as const;
    sendBody(owner, { case: "cancelJob", value });
    await expectStop("superseded");
  });
});
