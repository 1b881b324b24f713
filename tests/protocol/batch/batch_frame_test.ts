import { expect } from "chai";
import type { BatchBody } from "../../../src/coordination/messages/mod.ts";
import {
  formatBatchFrame,
  parseBatchFrame,
} from "../../../src/protocol/batch/mod.ts";

const TASK = "00000000000000aa.0.0.1";

const BODIES: BatchBody[] = [
  {
    case: "hello",
    value: { name: "entry-1", incarnation: "i", stream: 3, uptimeMs: 250 },
  },
  { case: "announce", value: {} },
  { case: "ping", value: { operatorOffset: 3 } },
  {
    case: "startRuns",
    value: {
      batch: 2,
      jobId: "00000000000000aa",
      ageMs: 1_200,
      claimNumber: 4,
      awaitedHomes: 2,
      route: "r-1",
      spec: "line\nbreak and ünicode",
      priority: 1,
      timeLeftMs: 1_500,
      targetLeftMs: -20,
      detourMs: 35,
      workerRevision: 4,
      runs: [{
        task: TASK,
        run: 1,
        cpuMillis: 2_000,
        memoryMb: 64,
        gpus: 0,
        expectedMs: 86,
        crashes: 1,
        crashedAfterMs: 50,
        canBeDeclined: true,
      }, {
        ...{ task: TASK, run: 2, cpuMillis: 2_000, memoryMb: 64, gpus: 0 },
        ...{ expectedMs: 86, crashes: 0, crashedAfterMs: 0 },
        ...{ canBeDeclined: true, recheckAfterMs: 30 },
      }],
    },
  },
  { case: "stopRuns", value: { tasks: [TASK] } },
  {
    case: "runEnds",
    value: {
      ends: [
        { task: TASK, run: 1, outcome: "done", runMs: 80, detail: "" },
        { task: TASK, run: 2, outcome: "lost", runMs: 0, detail: "no worker" },
      ],
    },
  },
  {
    case: "workerProfile",
    value: {
      workerId: "w",
      cpuMillis: 16_000,
      memoryMb: 1_024,
      gpus: 2,
      labels: ["a", "r1"],
      zone: "z",
      service: "s",
      rack: "r1",
      revision: 4,
    },
  },
  {
    case: "workerCrash",
    value: {
      id: "i/1",
      ageMs: 12,
      runs: [{
        ...{ task: TASK, route: "r-1", ranMs: 50 },
        ...{ hasStarted: true, earlierCrashes: 1 },
      }],
    },
  },
  {
    case: "workerStatus",
    value: {
      acceptsWork: true,
      isSettled: false,
      freeCpuMillis: 100,
      freeMemoryMb: 200,
      freeGpus: 1,
      entries: 3,
      slowdown: 0.712,
      runningLeftMs: [10, 20],
      queuedRuns: [0, 1, 0, 0],
      queuedMs: [0, 86, 0, 0],
      receivedBatch: 7,
      failureShare: 0.125,
      suspectRuns: 2,
    },
  },
  { case: "readOperatorState", value: { offset: 5, position: 2 } },
  {
    case: "operatorStatePart",
    value: { offset: 5, position: 2, length: 3, text: "}" },
  },
  {
    case: "cancelJob",
    value: { jobId: "00000000000000aa", reason: "superseded" },
  },
  {
    case: "claimJob",
    value: {
      ...{ jobId: "00000000000000aa", number: 3, ageMs: 12 },
      isDeciding: true,
      notify: ["10.0.0.1:7001"],
      spec: "x",
    },
  },
  {
    case: "jobGranted",
    value: {
      ...{ entry: "entry-1", incarnation: "i", jobId: "00000000000000aa" },
      ...{ number: 3, home: "agent-1", spec: "x" },
    },
  },
  {
    case: "confirmJob",
    value: { jobId: "00000000000000aa", number: 3, spec: undefined },
  },
  {
    case: "claimReply",
    value: {
      ...{ jobId: "00000000000000aa", number: 3, outcome: "held" },
      holder: "entry-1",
    },
  },
  { case: "releaseJobs", value: { jobIds: ["00000000000000aa"] } },
  {
    case: "openJobs",
    value: {
      isComplete: true,
      openJobIds: ["00000000000000aa"],
      endedJobIds: ["00000000000000ab"],
    },
  },
];

describe("batch frames", () => {
  for (const kind of BODIES) {
    it(`carry ${kind.case} on one line without a loss`, () => {
      const frame = { sentAtMs: 12_345, echoAtMs: 67, kind };
      const line = formatBatchFrame(frame);
      expect(line).not.to.contain("\n");
      expect(parseBatchFrame(line)).to.deep.equal(frame);
    });
  }

  it("of agents that don't send the rack of their worker leave it unknown", () => {
    const fields = '"w",16000,1024,0,["a"],"z","s"';
    const frame = parseBatchFrame(`[1,0,"workerProfile",${fields}]`);
    expect(frame?.kind.value).to.include({ service: "s", rack: "" });
  });

  it("of earlier versions name no revision of a worker", () => {
    const fields = '"w",16000,1024,0,["a"],"z","s","r1"';
    const profile = parseBatchFrame(`[1,0,"workerProfile",${fields}]`);
    expect(profile?.kind.value).to.include({ rack: "r1", revision: 0 });
    const order = '1,"aa","x",0,100,50,[],"r",0,0,0,35';
    const startRuns = parseBatchFrame(`[1,0,"startRuns",${order}]`);
    expect(startRuns?.kind.value).to.include({ detourMs: 35 });
    expect(startRuns?.kind.value).not.to.have.property("workerRevision");
  });

  it("of a kind that this version does not know are passed over", () => {
    expect(parseBatchFrame('[1,0,"newKind",5]')).to.equal(undefined);
  });

  it("are told from other data", () => {
    for (const text of ["GET / HTTP/1.1", "{}", "[]", "[1,2,3]", "null"]) {
      expect(() => parseBatchFrame(text), text).to.throw();
    }
  });
});
