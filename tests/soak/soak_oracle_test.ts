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
const FIRST_STEP_TASK = `${JOB.id}.0.0.0`;
const SECOND_STEP_TASK = `${JOB.id}.0.1.0`;
const LOCATION = { agent: "agent-1", zone: "a", service: "render" };

describe("SoakOracle", () => {
  let disturbanceHistory: DisturbanceHistory;
  let oracle: SoakOracle;

  beforeEach(() => {
    disturbanceHistory = new DisturbanceHistory();
    oracle = new SoakOracle(disturbanceHistory);
    oracle.addJob(JOB, "render");
  });

  function start(
    task: string,
    options: {
      workerId?: string;
      spec?: string;
      at?: number;
      labels?: string[];
    } = {},
  ): void {
    const { workerId = "w-1", spec = "s", at = performance.now() } = options;
    const { labels = ["a"] } = options;
    oracle.handleEvent(
      {
        ...{ kind: "started", workerId, at, task, run: 1, spec, labels },
        isLate: false,
      },
      LOCATION,
    );
  }

  function end(task: string, endReason: string, workerId = "w-1"): void {
    const at = performance.now();
    oracle.handleEvent(
      { kind: "ended", workerId, at, task, run: 1, endReason },
      LOCATION,
    );
  }

  function expectOneViolation(text: string): void {
    expect(oracle.violations).to.have.length(1);
    expect(oracle.violations[0]).to.contain(text);
  }

  it("finds a task that is started three times after three workers crashed", () => {
    for (let crash = 0; crash < 5; crash++) {
      start(FIRST_STEP_TASK);
      end(FIRST_STEP_TASK, "crashed");
    }
    expect(oracle.violations).to.deep.equal([]);
    start(FIRST_STEP_TASK);
    expectOneViolation("after 5 workers crashed under it");
  });

  it("lets a job fail when two workers have crashed under a task of it", () => {
    const answer = { kind: "answer", status: 200, state: "failed" } as const;
    start(FIRST_STEP_TASK);
    end(FIRST_STEP_TASK, "crashed");
    oracle.recordOutcome(JOB.id, answer);
    expectOneViolation("failed without a cause");
    start(FIRST_STEP_TASK);
    end(FIRST_STEP_TASK, "crashed");
    oracle.recordOutcome(JOB.id, answer);
    expect(oracle.violations).to.have.length(1);
  });

  it("finds a start over a capacity that shrank long before", () => {
    const event = {
      ...{ kind: "over_capacity", task: FIRST_STEP_TASK } as const,
      ...{ workerId: "w-1", at: performance.now() },
    };
    oracle.handleEvent({ ...event, shrunkForMs: 3_000 }, LOCATION);
    expect(oracle.violations).to.deep.equal([]);
    oracle.handleEvent({ ...event, shrunkForMs: 5_000 }, LOCATION);
    expectOneViolation("over the capacity");
  });

  it("finds no violation in a job that runs correctly", () => {
    start(FIRST_STEP_TASK);
    end(FIRST_STEP_TASK, "done");
    start(SECOND_STEP_TASK, { workerId: "w-2" });
    end(SECOND_STEP_TASK, "done", "w-2");
    const answer = { kind: "answer", status: 200, state: "completed" } as const;
    oracle.recordOutcome(JOB.id, answer);
    oracle.checkFinalState();
    oracle.checkAllCompleted([JOB.id]);
    expect(oracle.violations).to.deep.equal([]);
  });

  it("finds concurrent runs of a task, and allows consecutive runs", () => {
    start(FIRST_STEP_TASK);
    end(FIRST_STEP_TASK, "crashed");
    start(FIRST_STEP_TASK, { workerId: "w-2" });
    expect(oracle.violations).to.deep.equal([]);
    start(FIRST_STEP_TASK, { workerId: "w-3" });
    expectOneViolation("runs at w-2 and at w-3");
  });

  it("knows the workers that run a job's tasks", () => {
    start(FIRST_STEP_TASK);
    expect([...oracle.getActiveWorkerIds([JOB.id])]).to.deep.equal(["w-1"]);
    end(FIRST_STEP_TASK, "done");
    expect([...oracle.getActiveWorkerIds([JOB.id])]).to.deep.equal([]);
  });

  it("finds a start at a worker without the label of the job", () => {
    oracle.addJob({ ...JOB, requiredLabel: "b" }, "render");
    start(FIRST_STEP_TASK, { labels: ["b", "r1"] });
    end(FIRST_STEP_TASK, "done");
    expect(oracle.violations).to.deep.equal([]);
    start(SECOND_STEP_TASK, { labels: ["a", "r1"] });
    expectOneViolation("which is no worker of kind b");
  });

  it("lets a job fail only while no worker has its label", () => {
    const answer = { kind: "answer", status: 200, state: "failed" } as const;
    const at = performance.now();
    const startLife = (labels: string[]) =>
      oracle.handleEvent(
        { kind: "life_started", workerId: "w-1", at, labels },
        LOCATION,
      );
    oracle.addJob({ ...JOB, requiredLabel: "b" }, "render");
    startLife(["b"]);
    oracle.recordOutcome(JOB.id, answer);
    expectOneViolation("failed without a cause");
    startLife(["a"]);
    oracle.recordOutcome(JOB.id, answer);
    expect(oracle.violations).to.have.length(1);
  });

  it("finds a group that starts before the step that it depends on", () => {
    oracle.addJob({ ...JOB, steps: 3, endsInGroup: true }, "render");
    start(SECOND_STEP_TASK);
    expect(oracle.violations).to.deep.equal([]);
    start(`${JOB.id}.0.2.0`);
    expectOneViolation("before the step that it depends on");
  });

  it("finds a task that was not submitted, or with another spec", () => {
    start("0000000000000002.0.0.0");
    start(FIRST_STEP_TASK, { spec: "other" });
    expect(oracle.violations).to.have.length(2);
  });

  it("finds a start at a worker of another service", () => {
    oracle.handleEvent({
      ...{
        kind: "started",
        labels: [],
        workerId: "w-1",
        at: 0,
        task: FIRST_STEP_TASK,
        run: 1,
      },
      ...{ spec: "s", isLate: false },
    }, { ...LOCATION, service: "stamp" });
    expectOneViolation("starts at a worker of stamp");
  });

  it("finds a task that starts before the step that it depends on", () => {
    start(SECOND_STEP_TASK);
    expectOneViolation("before the step");
  });

  it("finds answers that contradict the runs", () => {
    start(FIRST_STEP_TASK);
    oracle.recordOutcome(JOB.id, {
      ...{ kind: "answer", status: 200, state: "completed" } as const,
    });
    oracle.recordOutcome(JOB.id, {
      ...{ kind: "answer", status: 200, state: "failed" } as const,
    });
    expect(oracle.violations).to.have.length(2);
  });

  it("finds a refused job that has run", () => {
    start(FIRST_STEP_TASK);
    end(FIRST_STEP_TASK, "done");
    oracle.recordOutcome(JOB.id, { kind: "answer", status: 503 });
    oracle.checkFinalState();
    expectOneViolation("was refused by each entry");
  });

  it("finds a task that still runs at the end, and an uncompleted job", () => {
    start(FIRST_STEP_TASK);
    oracle.checkFinalState();
    oracle.checkAllCompleted([JOB.id]);
    expect(oracle.violations).to.have.length(2);
  });

  describe("with a draining worker", () => {
    const drainedAt = 100_000;
    const lateAt = drainedAt + 3_000;

    beforeEach(() => {
      const event: WorkerEvent = {
        ...{ kind: "drain_confirmed", workerId: "w-1", at: drainedAt },
      };
      oracle.handleEvent(event, LOCATION);
    });

    it("finds a late start at an undisturbed agent", () => {
      start(FIRST_STEP_TASK, { at: drainedAt + 1_000 });
      expect(oracle.violations).to.deep.equal([]);
      end(FIRST_STEP_TASK, "crashed");
      start(FIRST_STEP_TASK, { at: lateAt });
      expectOneViolation("starts at a draining worker");
    });

    it("allows a late start while the agent or the store is disturbed", () => {
      disturbanceHistory.recordBegin("agent-1");
      start(FIRST_STEP_TASK, { at: lateAt });
      end(FIRST_STEP_TASK, "crashed");
      disturbanceHistory.recordEnd("agent-1");
      disturbanceHistory.recordBegin("store");
      start(FIRST_STEP_TASK, { at: lateAt });
      expect(oracle.violations).to.deep.equal([]);
    });
  });

  it("finds a start in a zone that is out of service", () => {
    oracle.recordZoneState("a", "out");
    start(FIRST_STEP_TASK, { at: performance.now() + 6_000 });
    expectOneViolation("out of service");
    oracle.recordZoneState("a", "in");
    end(FIRST_STEP_TASK, "crashed");
    start(FIRST_STEP_TASK, { at: performance.now() + 6_000 });
    expect(oracle.violations).to.have.length(1);
  });

  it("allows the failure of a job whose task has used all attempts", () => {
    for (let n = 0; n < SOAK_LIMITS.maxAttempts; n++) {
      start(FIRST_STEP_TASK);
      end(FIRST_STEP_TASK, "failed");
    }
    oracle.recordOutcome(JOB.id, {
      ...{ kind: "answer", status: 200, state: "failed" } as const,
    });
    expect(oracle.violations).to.deep.equal([]);
  });
});
