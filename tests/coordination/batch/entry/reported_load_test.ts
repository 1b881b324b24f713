import { expect } from "chai";
import { ReportedLoad } from "../../../../src/coordination/batch/entry/reported_load.ts";
import type {
  StartRuns,
  WorkerProfile,
  WorkerStatus,
} from "../../../../src/coordination/messages/mod.ts";

const PROFILE: WorkerProfile = {
  ...{ workerId: "w", service: "s", zone: "a", labels: [], rack: "" },
  revision: 1,
  ...{ cpuMillis: 4_000, memoryMb: 512, gpus: 0 },
};

function createStatus(receivedBatch: number, freeCpuMillis: number) {
  return {
    ...{ acceptsWork: true, isSettled: true, entries: 1, receivedBatch },
    ...{ freeCpuMillis, freeMemoryMb: 512, freeGpus: 0, slowdown: 1 },
    ...{ runningLeftMs: [], queuedRuns: [], queuedMs: [] },
    ...{ failureShare: 0, suspectRuns: 0 },
  } satisfies WorkerStatus;
}

/** Creates an order of one run that takes 1,000 thousandths of a core. */
function createStart(batch: number): StartRuns {
  return {
    ...{ batch, jobId: `j${batch}`, spec: "", priority: 0, route: "r" },
    ...{ timeLeftMs: 1_000, targetLeftMs: 1_000, ageMs: 0 },
    ...{ claimNumber: 0, awaitedHomes: 0 },
    runs: [{
      ...{ task: `j${batch}.0.0.0`, run: 1, cpuMillis: 1_000, memoryMb: 0 },
      ...{ gpus: 0, expectedMs: 50, crashes: 0, crashedAfterMs: 0 },
      canBeDeclined: false,
    }],
  };
}

describe("ReportedLoad", () => {
  let load: ReportedLoad;

  const getFreeCpu = () => load.get()?.free.cpuMillis;

  beforeEach(() => {
    load = new ReportedLoad("agent-1");
    load.setProfile(PROFILE);
  });

  it("counts orders that are sent before and after it is first asked for", () => {
    // Guards against a worker that gets more tasks than it has room for.
    load.setStatus(createStatus(0, 4_000), 0);
    load.addStart(createStart(1));
    expect(getFreeCpu()).to.equal(3_000);
    load.addStart(createStart(2));
    expect(getFreeCpu()).to.equal(2_000);
  });

  it("counts an order once when a report includes it", () => {
    load.setStatus(createStatus(0, 4_000), 0);
    load.addStart(createStart(1));
    load.addStart(createStart(2));
    load.setStatus(createStatus(1, 3_000), 10);
    expect(getFreeCpu()).to.equal(2_000);
  });

  it("is not known after a change of the worker until its report", () => {
    // Guards against the former worker's room on a smaller one.
    load.setStatus(createStatus(0, 4_000), 0);
    expect(getFreeCpu()).to.equal(4_000);
    load.setProfile({ ...PROFILE, workerId: "v" });
    expect(load.get()).to.equal(undefined);
    load.setStatus(createStatus(0, 500), 20);
    expect(getFreeCpu()).to.equal(500);
  });

  it("forgets the orders of a stream that has ended", () => {
    load.setStatus(createStatus(0, 4_000), 0);
    load.addStart(createStart(1));
    load.clear();
    expect(load.get()).to.equal(undefined);
    load.setProfile(PROFILE);
    load.setStatus(createStatus(0, 4_000), 30);
    expect(getFreeCpu()).to.equal(4_000);
  });
});
