import { expect } from "chai";
import {
  CrashHistory,
  RouteContainment,
  type WorkerCrash,
} from "../../../src/state/batch/mod.ts";
import { createWorkerLoad } from "../../lib/create_worker_load.ts";

const AGENT_COUNT = 8;
const LOADS = Array.from(
  { length: AGENT_COUNT },
  (_, n) => createWorkerLoad({ agentId: `a${n}` }),
);

describe("RouteContainment", () => {
  let history: CrashHistory;
  let containment: RouteContainment;
  let released: string[];

  beforeEach(() => {
    history = new CrashHistory();
    released = [];
    containment = new RouteContainment({
      onRelease: (route) => released.push(route),
    });
  });

  /** Records a crash under one task, with the crashes it has been under. */
  function recordCrash(
    agentId: string,
    { task = "t", route = "r", ranMs = 50, at = 0 } = {},
  ): string[] {
    const crash: WorkerCrash = {
      id: `${agentId}/${at}`,
      agentId,
      at,
      runs: [{
        ...{ task, route, ranMs, hasStarted: true },
        earlierCrashes: history.getCount(task),
      }],
    };
    history.record(crash);
    return containment.record({
      ...{ crash, history, agentCount: AGENT_COUNT },
      sharesWorkers: (name) => name !== "alone",
    });
  }

  function getAgents(route: string, now: number): string[] {
    return containment.filterLoads(route, LOADS, now)
      .map(({ agentId }) => agentId);
  }

  it("confines a route to a quarter of the workers, the last that its tasks have crashed", () => {
    recordCrash("a0", { task: "t1" });
    recordCrash("a1", { task: "t1", at: 100 });
    recordCrash("a2", { task: "t2", at: 200 });
    expect(getAgents("r", 300)).to.have.length(AGENT_COUNT);
    expect(recordCrash("a3", { task: "t2", at: 300 })).to.deep.equal(["r"]);
    expect(getAgents("r", 400)).to.have.members(["a2", "a3"]);
    expect(getAgents("other", 400)).to.have.length(AGENT_COUNT - 2);
    expect(getAgents("other", 400)).not.to.include.members(["a2", "a3"]);
  });

  it("does not confine a route when many workers crash at once", () => {
    for (const [n, agentId] of ["a0", "a1", "a2", "a3", "a4"].entries()) {
      recordCrash(agentId, { task: `t${n}` });
    }
    expect(getAgents("r", 100)).to.have.length(AGENT_COUNT);
  });

  it("does not confine a route whose tasks met two crashes at different points", () => {
    for (const [n, task] of ["t1", "t2", "t3"].entries()) {
      recordCrash(`a${n}`, { task, ranMs: 50 });
      recordCrash(`a${n + 3}`, { task, ranMs: 400, at: 100 });
    }
    expect(getAgents("r", 200)).to.have.length(AGENT_COUNT);
  });

  it("does not confine a route because many of its tasks met the same two crashes", () => {
    const tasks = Array.from({ length: 9 }, (_, n) => `t${n}`);
    for (const [n, agentId] of ["a0", "a1"].entries()) {
      const crash: WorkerCrash = {
        ...{ id: agentId, agentId, at: n },
        runs: tasks.map((task, index) => ({
          ...{ task, route: "r", hasStarted: true, earlierCrashes: n },
          ranMs: 50 + 40 * index + 20 * n,
        })),
      };
      history.record(crash);
      containment.record({
        ...{ crash, history, agentCount: AGENT_COUNT },
        sharesWorkers: () => true,
      });
    }
    expect(getAgents("r", 100)).to.have.length(AGENT_COUNT);
  });

  it("keeps a route confined while its workers crash, and then releases it", () => {
    for (const [n, task] of ["t1", "t1", "t2", "t2"].entries()) {
      recordCrash(`a${n}`, { task, at: n });
    }
    recordCrash("a2", { task: "t3", at: 4_000 });
    expect(getAgents("r", 8_900)).to.have.length(2);
    expect(released).to.deep.equal([]);
    expect(getAgents("r", 9_000)).to.have.length(AGENT_COUNT);
    expect(released).to.deep.equal(["r"]);
  });

  it("does not confine a route that has its workers for itself", () => {
    for (const [n, task] of ["t1", "t1", "t2", "t2"].entries()) {
      recordCrash(`a${n}`, { task, route: "alone", at: n });
    }
    expect(getAgents("alone", 100)).to.have.length(AGENT_COUNT);
  });

  it("leaves the workers of a confined route to others when there are no more", () => {
    for (const [n, task] of ["t1", "t1", "t2", "t2"].entries()) {
      recordCrash(`a${n}`, { task, at: n });
    }
    const loads = LOADS.slice(2, 4);
    expect(containment.filterLoads("other", loads, 100)).to.have.length(2);
  });
});
