import { setTimeout as wait } from "node:timers/promises";
import { expect } from "chai";
import type { BatchTask } from "../../../../src/coordination/batch/entry/batch_task.ts";
import { JobTasks } from "../../../../src/coordination/batch/entry/job_tasks.ts";
import { JobTimers } from "../../../../src/coordination/batch/entry/job_timers.ts";
import { PlacementSchedule } from "../../../../src/coordination/batch/entry/placement_schedule.ts";
import type { TaskState } from "../../../../src/coordination/batch/entry/task_state.ts";
import { createBatchStep } from "../../../lib/create_batch_step.ts";

const DELAY_MS = 20;

/** Each way to plan a placement. */
const WAYS = {
  "after a delay": (schedule, task) => schedule.addDelayed(task, DELAY_MS),
  "at once": (schedule, task) => schedule.addDelayed(task, 0),
  "with others": (schedule, task) => schedule.addDue(task),
} satisfies Record<string, (s: PlacementSchedule, t: BatchTask) => void>;

describe("PlacementSchedule", () => {
  let timers: JobTimers;
  let schedule: PlacementSchedule;
  let placed: string[][];

  beforeEach(() => {
    placed = [];
    timers = new JobTimers();
    schedule = new PlacementSchedule({
      timers,
      place: (tasks) => placed.push(tasks.map(({ name }) => name)),
      onDue: () => {},
    });
  });

  afterEach(() => timers.stop());

  function createTasks(sharesRack: boolean): BatchTask[] {
    const steps = [
      createBatchStep({ count: 2, sharesRack }),
      createBatchStep({ sharesRack }),
    ];
    return [...new JobTasks({ id: "j", spec: "x", steps }).getAll()];
  }

  for (const sharesRack of [true, false]) {
    const kind = sharesRack ? "a task of a group" : "a single task";
    for (const [firstName, planFirst] of Object.entries(WAYS)) {
      for (const [secondName, planSecond] of Object.entries(WAYS)) {
        // Guards against two runs of a task at the same time (review/11).
        it(`places ${kind} once that is put off ${firstName}, then ${secondName}`, async () => {
          const [task] = createTasks(sharesRack) as [BatchTask];
          planFirst(schedule, task);
          planSecond(schedule, task);
          await wait(3 * DELAY_MS);
          expect(placed).to.deep.equal([[task.name]]);
          expect(task.state).to.equal("idle");
        });
      }
    }
  }

  for (const state of ["sent", "lost", "done"] satisfies TaskState[]) {
    it(`doesn't place a task that is ${state}`, async () => {
      const [task] = createTasks(false) as [BatchTask];
      task.state = state;
      Object.values(WAYS).forEach((plan) => plan(schedule, task));
      await wait(3 * DELAY_MS);
      expect(placed).to.deep.equal([]);
      expect(task.state).to.equal(state);
    });
  }

  it("places a task again that is planned anew when it is placed", async () => {
    const [task] = createTasks(false) as [BatchTask];
    schedule.addDelayed(task, 0);
    await wait(DELAY_MS);
    schedule.addDelayed(task, 0);
    await wait(DELAY_MS);
    expect(placed).to.deep.equal([[task.name], [task.name]]);
  });

  it("places the due tasks of each step together, in the order of the steps", async () => {
    const [first, second, other] = createTasks(true) as [
      BatchTask,
      BatchTask,
      BatchTask,
    ];
    [other, second, first].forEach((task) => schedule.addDue(task));
    await wait(DELAY_MS);
    expect(placed).to.deep.equal([[second.name, first.name], [other.name]]);
  });
});
