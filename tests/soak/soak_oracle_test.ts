import { expect } from "chai";
import type { WorkerEvent } from "../../platform/stand_in/mod.ts";
import { DisturbanceHistory } from "../../scripts/soak/disturbance_history.ts";
import { SOAK_LIMITS } from "../../scripts/soak/soak_limits.ts";
import { SoakOracle } from "../../scripts/soak/soak_oracle.ts";

const JOB = {
  id: "0000000000000001",
  spec: "s",
  tasksPerStep: 1,
  steps: 2,
  cpuMillis: 2_000,
  expectedMs: 100,
};
const FIRST = `${JOB.id}.0.0.0`;
const SECOND = `${JOB.id}.0.1.0`;
const PLACE = { agent: "agent-1", zone: "a", service: "render" };

describe("SoakOracle", () => {
  let disturbances: DisturbanceHistory;
  let oracle: SoakOracle;

  beforeEach(() => {
    disturbances = new DisturbanceHistory();
    oracle = new SoakOracle(disturbances);
    oracle.addJob(JOB, "render");
  });

  function start(
    task: string,
    options: { workerId?: string; spec?: string; at?: number } = {},
  ): void {
    const { workerId = "w-1", spec = "s", at = performance.now() } = options;
    oracle.handleEvent(
      { kind: "started", workerId, at, task, run: 1, spec, isLate: false },
      PLACE,
    );
  }

  function end(task: string, how: string, workerId = "w-1"): void {
    const at = performance.now();
    oracle.handleEvent(
      { kind: "ended", workerId, at, task, run: 1, endReason: how },
      PLACE,
    );
  }

  function expectOne(text: string): void {
    expect(oracle.violations).to.have.length(1);
    expect(oracle.violations[0]).to.contain(text);
  }

  it("finds nothing in a job that runs as it should", () => {
    start(FIRST);
    end(FIRST, "done");
    start(SECOND, { workerId: "w-2" });
    end(SECOND, "done", "w-2");
    const answer = { kind: "answer", status: 200, state: "completed" } as const;
    oracle.recordOutcome(JOB.id, answer);
    oracle.checkFinalState();
    oracle.checkAllCompleted([JOB.id]);
    expect(oracle.violations).to.deep.equal([]);
  });

  it("finds two runs of a task, and allows them one after the other", () => {
    start(FIRST);
    end(FIRST, "crashed");
    start(FIRST, { workerId: "w-2" });
    expect(oracle.violations).to.deep.equal([]);
    start(FIRST, { workerId: "w-3" });
    expectOne("runs at w-2 and at w-3");
  });

  it("finds a task that nobody sent, or sent otherwise", () => {
    start("0000000000000002.0.0.0");
    start(FIRST, { spec: "other" });
    expect(oracle.violations).to.have.length(2);
  });

  it("finds a start at a worker of another service", () => {
    oracle.handleEvent({
      ...{ kind: "started", workerId: "w-1", at: 0, task: FIRST, run: 1 },
      ...{ spec: "s", isLate: false },
    }, { ...PLACE, service: "stamp" });
    expectOne("starts at a worker of stamp");
  });

  it("finds a step that starts before the one it depends on", () => {
    start(SECOND);
    expectOne("before the step");
  });

  it("finds answers that are not true", () => {
    start(FIRST);
    oracle.recordOutcome(JOB.id, {
      ...{ kind: "answer", status: 200, state: "completed" } as const,
    });
    oracle.recordOutcome(JOB.id, {
      ...{ kind: "answer", status: 200, state: "failed" } as const,
    });
    expect(oracle.violations).to.have.length(2);
  });

  it("finds a refused job that has run", () => {
    start(FIRST);
    end(FIRST, "done");
    oracle.recordOutcome(JOB.id, { kind: "answer", status: 503 });
    oracle.checkFinalState();
    expectOne("was refused by each entry");
  });

  it("finds what still runs at the end, and what is not served", () => {
    start(FIRST);
    oracle.checkFinalState();
    oracle.checkAllCompleted([JOB.id]);
    expect(oracle.violations).to.have.length(2);
  });

  describe("with a worker that leaves", () => {
    const drainedAt = 100_000;
    const lateAt = drainedAt + 3_000;

    beforeEach(() => {
      const event: WorkerEvent = {
        ...{ kind: "drain_confirmed", workerId: "w-1", at: drainedAt },
      };
      oracle.handleEvent(event, PLACE);
    });

    it("finds a late start at an undisturbed agent", () => {
      start(FIRST, { at: drainedAt + 1_000 });
      expect(oracle.violations).to.deep.equal([]);
      end(FIRST, "crashed");
      start(FIRST, { at: lateAt });
      expectOne("starts at a draining worker");
    });

    it("allows it while the agent or the store is disturbed", () => {
      disturbances.recordBegin("agent-1");
      start(FIRST, { at: lateAt });
      end(FIRST, "crashed");
      disturbances.recordEnd("agent-1");
      disturbances.recordBegin("store");
      start(FIRST, { at: lateAt });
      expect(oracle.violations).to.deep.equal([]);
    });
  });

  it("finds a start in a zone that is out of service", () => {
    oracle.recordZoneState("a", "out");
    start(FIRST, { at: performance.now() + 6_000 });
    expectOne("out of service");
    oracle.recordZoneState("a", "in");
    end(FIRST, "crashed");
    start(FIRST, { at: performance.now() + 6_000 });
    expect(oracle.violations).to.have.length(1);
  });

  it("allows the failure of a job whose task failed often enough", () => {
    for (let n = 0; n < SOAK_LIMITS.maxAttempts; n++) {
      start(FIRST);
      end(FIRST, "failed");
    }
    oracle.recordOutcome(JOB.id, {
      ...{ kind: "answer", status: 200, state: "failed" } as const,
    });
    expect(oracle.violations).to.deep.equal([]);
  });
});
