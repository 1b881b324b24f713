import { expect } from "chai";
import { err } from "neverthrow";
import { BatchAgent } from "../../../../src/coordination/batch/agent/mod.ts";
import type { BatchBody } from "../../../../src/coordination/messages/mod.ts";
import type { KeyedStore } from "../../../../src/coordination/ports/mod.ts";
import { createError } from "../../../../src/state/errors/mod.ts";
import { Metrics } from "../../../../src/state/metrics/mod.ts";
import { FakeWorker } from "../../../lib/fake_worker.ts";
import { MemoryStream } from "../../../lib/memory_stream.ts";
import { RecordedLog } from "../../../lib/recorded_log.ts";
import { waitUntil } from "../../../lib/wait_until.ts";

const TASK = "00000000000000aa.0.0.0";
const CAPACITY = { cpuMillis: 4_000, memoryMb: 1_000, gpus: 0 };

const unreachable = () =>
  Promise.resolve(err(createError("log_unreachable", "no store")));

const STORE: KeyedStore = {
  readNewest: unreachable,
  readFrom: unreachable,
  append: unreachable,
};

function getCases(stream: MemoryStream): BatchBody["case"][] {
  return stream.sent.map(({ kind }) => kind.case);
}

describe("BatchAgent", () => {
  let worker: FakeWorker;
  let agent: BatchAgent;

  beforeEach(async () => {
    worker = new FakeWorker();
    agent = new BatchAgent({
      ...{ name: "agent-1", incarnation: "i", zone: "a", address: "x" },
      ...{ store: STORE, control: worker, maxLeaseMs: 1_000 },
      ...{ log: new RecordedLog(), metrics: new Metrics() },
      parseOperatorRecord: () => err(createError("internal", "no record")),
    });
    agent.runner.handleWorkerReport({
      ...{ workerId: "w-1", bornAtMs: 1_000, sequence: 1, service: "s" },
      ...{ zone: "a", isDraining: false, remainingMs: undefined },
      ...{ capacity: CAPACITY, labels: [] },
    });
    await waitUntil(() => agent.runner.acceptsWork, "the agent accepts work");
  });

  afterEach(() => agent.runner.stop());

  function openStream(entry: string): MemoryStream {
    const stream = new MemoryStream();
    void agent.serve(stream);
    const value = { name: entry, incarnation: "i" };
    sendBody(stream, { case: "hello", value });
    return stream;
  }

  function sendBody(stream: MemoryStream, kind: BatchBody): void {
    const now = Math.floor(performance.now());
    stream.received.add({ sentAtMs: now, echoAtMs: now, kind });
  }

  it("tells all entries under which tasks its worker has crashed, also those that connect later", async () => {
    const owner = openStream("entry-1");
    const other = openStream("entry-2");
    sendBody(owner, {
      case: "startRuns",
      value: {
        ...{ batch: 1, jobId: "00000000000000aa", route: "r", spec: "x" },
        ...{ priority: 0, timeLeftMs: 5_000, targetLeftMs: 5_000 },
        runs: [{
          ...{ task: TASK, run: 1, cpuMillis: 2_000, memoryMb: 1, gpus: 0 },
          ...{ expectedMs: 100, crashes: 1, crashedAfterMs: 10 },
        }],
      },
    });
    await waitUntil(() => worker.running.has(TASK), "the run has started");
    worker.crash();
    await waitUntil(() => getCases(owner).includes("runEnds"), "it has ended");
    const later = openStream("entry-3");
    for (const stream of [owner, other, later]) {
      const crashes = stream.sent.map(({ kind }) => kind)
        .filter((kind) => kind.case === "workerCrash");
      expect(crashes).to.have.length(1);
      expect(crashes[0]?.value.id).to.equal("i/2");
      expect(crashes[0]?.value.runs[0]).to.include({
        ...{ task: TASK, route: "r", hasStarted: true, earlierCrashes: 1 },
      });
    }
    const cases = getCases(owner);
    expect(cases.indexOf("workerCrash")).to.be.lessThan(
      cases.indexOf("runEnds"),
    );
  });
});
