/**
 * Clients that send more than they may to real processes. The load: tens of clients
 * with bodies far over the limit, hundreds with bodies, headers or requests that they
 * never finish, and clients that read no answers, at an entry or at the server of an
 * agent to which its worker reports. Nothing here depends on the speed of the machine.
 */
import { expect } from "chai";
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { formatOperatorConfig, sendJob } from "../../platform/stand_in/mod.ts";
import { SoakCluster } from "../../scripts/soak/soak_cluster.ts";
import type { SoakProcess } from "../../scripts/soak/soak_process.ts";
import { HttpClient } from "../../src/transport/http/mod.ts";
import { ClientCrowd, type ClientCrowdOptions } from "../lib/client_crowd.ts";
import { ProcessUsage } from "../lib/process_usage.ts";
import { waitFor } from "../../scripts/lib/wait_for.ts";

/** Limits of the processes, low enough for small crowds to exceed them. */
const LIMITS = { requestMemoryBytes: 4_000_000, maxConnections: 200 } as const;

/** Memory of the smallest machine on which the processes run. */
const MAX_MEMORY_MB = 160;

/** The limit on connections, and as many for the process itself. */
const MAX_DESCRIPTORS = 2 * LIMITS.maxConnections;

/** Time within which an ordinary request gets some answer, in milliseconds. */
const ANSWER_TIMEOUT_MS = 30_000;

const BODY_BYTES = 30_000_000;

/** A size that the configuration allows by default. */
const ALLOWED_BYTES = 250_000;

const ROUTE = {
  name: "limits",
  host: "limits.example",
  pathPrefix: "/limits/",
  service: "limits",
  priority: 0,
  timeoutMs: 10_000,
  stretch: 1.6,
  latencyTargetMs: 60,
  maxLateness: 4,
  maxAttempts: 3,
};

const JOB_HEAD =
  `POST ${ROUTE.pathPrefix}00000000000000ff HTTP/1.1\r\nhost: ${ROUTE.host}\r\n`;
const REPORT_HEAD =
  "PUT /cranberrybank/instances/w HTTP/1.1\r\nhost: limits.example\r\n";

describe("a process whose clients send too much", function () {
  this.timeout(120_000);

  const folder = mkdtempSync(join(tmpdir(), "cranberrybank-limits-"));
  const client = new HttpClient();
  let cluster: SoakCluster;
  let lastJob = 0;
  let processSettings: Record<string, unknown> = { limits: LIMITS };
  let maxDescriptors = MAX_DESCRIPTORS;

  beforeEach(async () => {
    cluster = new SoakCluster({
      ...{ folder, entries: 1, agents: 2, zones: ["a"] },
      ...{ services: [ROUTE.service], hasEqualWorkers: true },
      processSettings,
      findTask: () => ({ cpuMillis: 100, runMs: 20 }),
      onEvent: () => {},
    });
    await cluster.start();
    const { key, value } = formatOperatorConfig({
      version: 1,
      routes: [ROUTE],
    });
    cluster.store.publish(key, value);
    await cluster.waitUntilReady();
    expect(await sendOrdinaryJob()).to.equal("200 completed");
  });

  afterEach(() => cluster.stop());

  after(() => {
    client.close();
    rmSync(folder, { recursive: true, force: true });
  });

  /** Sends a small job until it is accepted or can't be any more. */
  async function sendOrdinaryJob(): Promise<string> {
    const [entry] = cluster.entries;
    let answer = "";
    await waitFor("an accepted job", async () => {
      const reply = await sendJob({
        job: {
          id: (++lastJob).toString(16).padStart(16, "0"),
          ...{ spec: "ordinary", tasksPerStep: 1, steps: 1 },
          ...{ cpuMillis: 100, expectedMs: 20 },
        },
        ...{ client, address: entry?.jobAddress ?? "" },
        ...{ host: ROUTE.host, pathPrefix: ROUTE.pathPrefix },
        deadlineMs: ROUTE.timeoutMs,
        clientTimeoutMs: ANSWER_TIMEOUT_MS,
      });
      answer = reply.match(
        ({ status, state }) => `${status} ${state ?? ""}`,
        ({ kind }) => kind,
      );
      return !answer.startsWith("503");
    });
    return answer;
  }

  /** Checks that a process survives a crowd, and that jobs are served then. */
  async function checkCrowd(
    process: SoakProcess,
    options: ClientCrowdOptions,
  ): Promise<void> {
    const { pid = 0 } = process;
    const usage = new ProcessUsage(pid);
    const crowd = new ClientCrowd(options);
    try {
      await crowd.send();
      const answerBesideCrowd = await sendOrdinaryJob();
      crowd.close();
      const answerAfterCrowd = await sendOrdinaryJob();
      expect({
        pid: process.pid,
        answerBesideCrowd,
        answerAfterCrowd,
        memoryMb: getExcess(usage.readPeakMemoryMb(), MAX_MEMORY_MB),
        descriptors: getExcess(usage.peakDescriptors, maxDescriptors),
      }).to.deep.equal({
        pid,
        answerBesideCrowd: "200 completed",
        answerAfterCrowd: "200 completed",
        memoryMb: "inside the bound",
        descriptors: "inside the bound",
      });
    } finally {
      crowd.close();
      usage.stop();
    }
  }

  async function checkEntry(
    options: Omit<ClientCrowdOptions, "address">,
  ): Promise<void> {
    const [entry] = cluster.entries;
    if (entry === undefined) {
      throw new Error("there is no entry");
    }
    await checkCrowd(entry.process, { address: entry.jobAddress, ...options });
  }

  it("survives announced bodies far over the limit", () =>
    // Guards against bodies that are held in memory before their size is checked.
    checkEntry({
      count: 40,
      createParts: () => createAnnouncedBody(JOB_HEAD, BODY_BYTES),
    }));

  it("survives bodies far over the limit that are sent without a length", () =>
    // Guards against a limit that only an announced length is held against.
    checkEntry({ count: 40, createParts: () => createChunkedBody(JOB_HEAD) }));

  it("survives bodies in chunks of one byte", () =>
    // Guards against chunks that cost many times their length in memory and time.
    checkEntry({ count: 60, createParts: () => createTinyChunks(200_000) }));

  it("survives many bodies of an allowed size that never end", () =>
    // Guards against a limit for each request without one over all connections.
    checkEntry({
      count: 600,
      createParts: () => createAnnouncedBody(JOB_HEAD, ALLOWED_BYTES),
    }));

  it("survives requests that are sent ahead by clients that read no answers", () =>
    // Guards against work and answers for a connection without a limit.
    checkEntry({
      count: 40,
      createParts: () => createRequestsAhead(20_000),
      readsAnswers: false,
    }));

  it("survives headers that never end", () =>
    // Guards against headers without a limit, and clients that hold descriptors.
    checkEntry({
      count: 600,
      createParts: () => createEndlessHeaders(15_000),
    }));

  it("survives clients that begin a request and fall silent", () =>
    // Guards against a process that has no descriptor left for an ordinary client.
    checkEntry({
      count: 600,
      createParts: () => [Buffer.from(JOB_HEAD)],
    }));

  describe("with the limits that follow from the smallest machine", () => {
    before(() => {
      processSettings = { machine: { memoryMb: MAX_MEMORY_MB, maxFds: 4_096 } };
      maxDescriptors = 4_096;
    });

    after(() => {
      processSettings = { limits: LIMITS };
      maxDescriptors = MAX_DESCRIPTORS;
    });

    it("survives many short headers that never end", () =>
      // Guards against parsed headers, which take several times their length.
      checkEntry({
        count: 1_200,
        createParts: () => [Buffer.from(JOB_HEAD + "ab:\r\n".repeat(3_100))],
      }));
  });

  it("survives bodies far over the limit at the server for the worker's reports", async () => {
    // Guards against an agent that a local client ends.
    const [agent] = cluster.agents;
    if (agent === undefined) {
      throw new Error("there is no agent");
    }
    await checkCrowd(agent.process, {
      address: agent.reportAddress,
      count: 40,
      createParts: () => createAnnouncedBody(REPORT_HEAD, BODY_BYTES),
    });
  });
});

function getExcess(value: number, bound: number): string {
  return value <= bound
    ? "inside the bound"
    : `${Math.round(value)}, over ${bound}`;
}

/** Creates a request whose body lacks its last byte. */
function createAnnouncedBody(head: string, bytes: number): Buffer[] {
  return [
    Buffer.from(`${head}content-length: ${bytes}\r\n\r\n`),
    Buffer.alloc(bytes - 1, " "),
  ];
}

function* createChunkedBody(head: string): Iterable<Buffer> {
  yield Buffer.from(`${head}transfer-encoding: chunked\r\n\r\n`);
  const bytes = 100_000;
  const chunk = Buffer.from(
    `${bytes.toString(16)}\r\n${" ".repeat(bytes)}\r\n`,
  );
  for (let sent = 0; sent < BODY_BYTES; sent += bytes) {
    yield chunk;
  }
}

function createTinyChunks(count: number): Buffer[] {
  return [
    Buffer.from(`${JOB_HEAD}transfer-encoding: chunked\r\n\r\n`),
    Buffer.from("1\r\n \r\n".repeat(count)),
  ];
}

function createRequestsAhead(count: number): Buffer[] {
  const request =
    `GET ${ROUTE.pathPrefix} HTTP/1.1\r\nhost: ${ROUTE.host}\r\n\r\n`;
  return [Buffer.from(request.repeat(count))];
}

function* createEndlessHeaders(bytes: number): Iterable<Buffer> {
  yield Buffer.from(JOB_HEAD);
  for (let sent = 0; sent < bytes; sent += 100) {
    yield Buffer.from(`x-${sent}: ${"x".repeat(90)}\r\n`);
  }
}
