import { expect } from "chai";
import type { BatchTask } from "../../../../src/coordination/batch/entry/batch_task.ts";
import { PlaceRecord } from "../../../../src/coordination/batch/entry/mod.ts";
import type { RunOutcome } from "../../../../src/state/batch/mod.ts";
import { Metrics } from "../../../../src/state/metrics/mod.ts";
import { createBatchStep } from "../../../lib/create_batch_step.ts";

function createTask(rack: string | undefined, isFar = false): BatchTask {
  const place = isFar
    ? { kind: "far" } as const
    : { kind: "wait", recheckAfterMs: 50 } as const;
  const times = { startMs: 20, endMs: 120 };
  return {
    name: "t.0.0.0",
    step: createBatchStep({ preferredRack: rack }),
    ...{ stepNumber: 0, index: 0, run: 1, state: "sent" },
    ...{ stream: undefined, lastEnd: undefined, failures: 0, declines: 0 },
    placed: { index: 0, agentId: "a", ...times, isFar, place },
    ...{ sentAt: 1_000, canBeDeclined: true },
    ...{ avoidedAgents: new Set<string>(), declinedAgents: new Set<string>() },
  };
}

describe("PlaceRecord", () => {
  let metrics: Metrics;
  let record: PlaceRecord;

  beforeEach(() => {
    metrics = new Metrics();
    record = new PlaceRecord({ metrics });
  });

  function endRuns(task: BatchTask, outcome: RunOutcome): void {
    for (let n = 0; n < 50; n++) {
      record.recordOrder(task);
      const end = { task: task.name, run: 1, outcome, runMs: 100, detail: "" };
      record.recordEnd(task, end, { now: 1_160, isInTime: true });
    }
  }

  it("learns from runs near their data, which waited 60 instead of 20 ms", () => {
    endRuns(createTask("r1"), "done");
    expect(record.waitForecast.estimate("r1", 20).meanMs).to.be.above(50);
    expect(metrics.format())
      .to.include('runs_by_place_total{place="wait"} 50')
      .and.to.include('place_waits_total{result="in_time"} 50');
  });

  it("learns nothing from runs that were lost, or away from their data", () => {
    endRuns(createTask("r1"), "lost");
    endRuns(createTask("r1", true), "done");
    expect(record.waitForecast.estimate("r1", 20).meanMs).to.equal(20);
    expect(metrics.format()).not.to.include("place_waits");
  });

  it("learns from a group on its rack, and counts its waits apart", () => {
    const task = createTask(undefined);
    const group = { kind: "wait", rack: "r2" } as const;
    const placed = task.placed && { ...task.placed, place: undefined, group };
    endRuns({ ...task, placed }, "done");
    expect(record.waitForecast.estimate("r2", 20).meanMs).to.be.above(50);
    expect(metrics.format())
      .to.include('group_runs_by_place_total{place="wait"} 50')
      .and.to.include('group_waits_total{result="in_time"} 50')
      .and.not.to.include("place_waits");
  });

  it("counts nothing for tasks that name no rack", () => {
    endRuns(createTask(undefined), "done");
    expect(metrics.format()).not.to.include("place");
  });
});
