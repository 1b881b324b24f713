import { expect } from "chai";
import type { PlannedTask } from "../../../src/coordination/entry/planned_task.ts";
import { RetryBudgets } from "../../../src/coordination/entry/retry_budgets.ts";
import { TaskRun } from "../../../src/coordination/entry/task_run.ts";
import type { DispatchResult } from "../../../src/coordination/messages/mod.ts";
import {
  createError,
  type DispatchError,
} from "../../../src/state/errors/mod.ts";
import { getDigest } from "../../../src/state/hashing/mod.ts";
import { Timeline } from "../../../src/state/timeline/mod.ts";

const TASK: PlannedTask = {
  ...{ index: 0, body: new Uint8Array(), repeatable: true, key: "k" },
  ...{
    customer: "c",
    team: "",
    service: "s",
    runTimeKey: "s",
    priority: 5,
    order: 0,
  },
  ...{ weight: 1, teamWeight: 1, timeoutMs: 1_000, maxAttempts: 3 },
  ...{ hedging: false, homeId: undefined },
};

const body = new Uint8Array([1]);
const ANSWER: DispatchResult = {
  ...{ dispatchId: 1, errorKind: "", message: "", status: 200, body },
  ...{ digest: getDigest(body), runMs: 1, credits: 0, clock: 0 },
};

type Step = DispatchResult | DispatchError | "hang" | "break";

function createFailedResult(kind: string): DispatchResult {
  return { ...ANSWER, errorKind: kind };
}

/**
 * Creates a task run whose attempts end as the steps specify. An attempt with
 * the step "hang" or "break" ends only when it is cancelled.
 */
function createRun(
  steps: Step[],
  options: { task?: Partial<PlannedTask>; signal?: AbortSignal } = {},
) {
  const placed: { number: number; avoidId: string | undefined }[] = [];
  const cancelled: number[] = [];
  const budgets = new RetryBudgets();
  const run = new TaskRun({
    task: { ...TASK, ...options.task },
    signal: options.signal ?? new AbortController().signal,
    budgets,
    timeline: new Timeline("entry"),
    getStragglerThresholdMs: () => 5,
    onResult: () => {},
    place: ({ number, avoidId }) => {
      const step = steps[placed.length];
      placed.push({ number, avoidId });
      const wait = (signal: AbortSignal) =>
        typeof step === "object"
          ? Promise.resolve(step)
          : new Promise<DispatchResult>((resolve) =>
            signal.addEventListener("abort", () => {
              cancelled.push(number);
              resolve(createFailedResult("cancelled_running"));
            })
          );
      const streamBroken = step === "break"
        ? Promise.resolve()
        : new Promise<void>(() => {});
      const agentId = `agent-${placed.length}`;
      return Promise.resolve(
        step === undefined
          ? undefined
          : { number, agentId, streamBroken, wait },
      );
    },
  });
  return { run: () => run.run(), placed, cancelled, budgets };
}

describe("TaskRun", () => {
  describe("run", () => {
    it("sends a task that wasn't run to another agent, with the same attempt number", async () => {
      // Guards against a second attempt of a task that isn't repeatable.
      const { run, placed } = createRun(
        [createFailedResult("busy"), createFailedResult("view_stale"), ANSWER],
        { task: { repeatable: false } },
      );
      expect(await run()).to.include({ status: 200 });
      expect(placed).to.deep.equal([
        { number: 1, avoidId: undefined },
        { number: 1, avoidId: "agent-1" },
        { number: 1, avoidId: "agent-2" },
      ]);
    });

    it("never repeats a task that isn't repeatable and may have run", async () => {
      const { run, placed } = createRun(
        [createFailedResult("upstream_reset"), ANSWER],
        { task: { repeatable: false } },
      );
      expect(await run()).to.include({ outcome: "unknown" });
      expect(placed).to.have.length(1);
    });

    it("repeats a repeatable task up to its maximum number of attempts", async () => {
      const steps = Array.from(
        { length: 9 },
        () => createFailedResult("timeout"),
      );
      const { run, placed } = createRun(steps);
      expect(await run()).to.include({ outcome: "unknown" });
      expect(placed.map(({ number }) => number)).to.deep.equal([1, 2, 3]);
    });

    it("doesn't start a task again that has broken three upstreams", async () => {
      const steps = Array.from(
        { length: 10 },
        () => createFailedResult("upstream_reset"),
      );
      const { run, placed, budgets } = createRun(steps, {
        task: { maxAttempts: 10 },
      });
      for (let start = 0; start < 100; start++) {
        budgets.recordStart("c");
      }
      expect(await run()).to.include({ outcome: "unknown" });
      expect(placed).to.have.length(3);
    });

    it("doesn't repeat a task when the retry budget is used up", async () => {
      // Guards against retries that multiply the load during a fault.
      const { run, placed, budgets } = createRun(
        [createFailedResult("timeout"), ANSWER],
      );
      while (budgets.tryConsume("c"));
      expect(await run()).to.include({ outcome: "unknown" });
      expect(placed).to.have.length(1);
    });

    it('doesn\'t report "not run" when aborted after an attempt that may have run', async () => {
      // Guards against a false "not run" after the deadline has passed.
      const controller = new AbortController();
      controller.abort(createError("expired", "the deadline has passed"));
      const { run } = createRun([createFailedResult("timeout")], {
        signal: controller.signal,
      });
      expect(await run()).to.include({ outcome: "unknown" });
    });

    it("hedges a straggler and cancels the attempt that doesn't answer first", async () => {
      const { run, placed, cancelled } = createRun(["hang", ANSWER], {
        task: { hedging: true },
      });
      expect(await run()).to.include({ status: 200 });
      expect(placed[1]).to.deep.equal({ number: 2, avoidId: "agent-1" });
      expect(cancelled).to.deep.equal([1]);
    });

    it("retries only repeatable tasks on another agent while the stream is broken", async () => {
      // Guards against a repeatable task that waits until its agent is removed,
      // and against a second start of a task that isn't repeatable.
      const { run } = createRun(["break", ANSWER]);
      expect(await run()).to.include({ status: 200 });
      const controller = new AbortController();
      const unrepeatable = createRun(["break", ANSWER], {
        task: { repeatable: false, hedging: true },
        signal: controller.signal,
      });
      setTimeout(
        () => controller.abort(createError("expired", "passed")),
        30,
      );
      expect(await unrepeatable.run()).to.include({ outcome: "unknown" });
      expect(unrepeatable.placed).to.have.length(1);
    });
  });
});
