import { expect } from "chai";
import { BatchAgent } from "../../src/coordination/batch/agent/mod.ts";
import { handleWorkerRequest } from "../../platform/handle_worker_request.ts";
import { parseOperatorRecord } from "../../platform/parse_operator_record.ts";
import { StoreClient } from "../../platform/store_client.ts";
import { Metrics } from "../../src/state/metrics/mod.ts";
import type { HttpRequest } from "../../src/transport/http/mod.ts";
import { FakeAgentPeers } from "../lib/fake_agent_peers.ts";
import { FakeWorker } from "../lib/fake_worker.ts";
import { RecordedLog } from "../lib/recorded_log.ts";

const REPORT = {
  service: "s",
  addr: "10.0.0.1:80",
  zone: "a",
  version: "v1",
  slots: 8,
  state: "ready",
  coldLeftMs: 0,
  capacity: { cpu: 16_000, memMb: 1_000, gpu: 0 },
  labels: ["r1"],
  born: 5,
  seq: 1,
};

function createRequest(
  method: string,
  path: string,
  body: unknown = "",
): HttpRequest {
  return {
    method,
    rawPath: path,
    pathSegments: path.split("/").filter((part) => part !== ""),
    query: new URLSearchParams(),
    headers: {},
    remoteAddress: "127.0.0.1",
    body: Buffer.from(typeof body === "string" ? body : JSON.stringify(body)),
    signal: new AbortController().signal,
  };
}

describe("handleWorkerRequest", () => {
  const path = "/cranberrybank/instances/w-1";
  let agent: BatchAgent;
  let log: RecordedLog;

  beforeEach(() => {
    log = new RecordedLog();
    agent = new BatchAgent({
      name: "agent-1",
      incarnation: "x",
      zone: "a",
      address: "127.0.0.1:1",
      store: new StoreClient("127.0.0.1:1"),
      control: new FakeWorker(),
      peers: new FakeAgentPeers(),
      maxLeaseMs: 1_000,
      log,
      metrics: new Metrics(),
      parseOperatorRecord,
    });
  });

  afterEach(() => agent.runner.stop());

  function handle(request: HttpRequest): number {
    const options = { agent, log, service: "s" };
    return handleWorkerRequest(request, options).status;
  }

  it("accepts a report of the worker, and its request to leave", () => {
    expect(handle(createRequest("PUT", path, REPORT))).to.equal(200);
    expect(agent.runner.worker).to.deep.include({
      workerId: "w-1",
      bornAtMs: 5,
      capacity: { cpuMillis: 16_000, memoryMb: 1_000, gpus: 0 },
      isDraining: false,
    });
    expect(handle(createRequest("DELETE", path))).to.equal(200);
    expect(agent.runner.worker?.isDraining).to.equal(true);
  });

  it("keeps the current worker when another sends invalid reports", () => {
    handle(createRequest("PUT", path, REPORT));
    const otherPath = "/cranberrybank/instances/other";
    const invalidReports = [
      { ...REPORT, service: "unknown" },
      { ...REPORT, state: "odd" },
      { ...REPORT, capacity: "much" },
      { ...REPORT, seq: undefined },
      "\u0000{",
    ];
    for (const body of invalidReports) {
      expect(handle(createRequest("PUT", otherPath, body))).to.equal(400);
    }
    expect(agent.runner.worker?.workerId).to.equal("w-1");
    expect(log.count("worker_report_unreadable")).to.equal(
      invalidReports.length,
    );
  });

  it("keeps the incarnation of the worker after a report without its start", () => {
    // Guards against taking such a report for a restart (review/5).
    handle(createRequest("PUT", path, REPORT));
    const found = log.count("worker_found");
    const report = { ...REPORT, seq: 2, born: undefined };
    expect(handle(createRequest("PUT", path, report))).to.equal(400);
    expect(agent.runner.worker?.bornAtMs).to.equal(5);
    expect(log.count("worker_found")).to.equal(found);
  });

  it("rejects other paths and methods", () => {
    expect(handle(createRequest("PUT", "/other", REPORT))).to.equal(404);
    expect(handle(createRequest("GET", path))).to.equal(405);
  });
});
