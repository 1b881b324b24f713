import type { CrashHistory } from "../../../state/batch/mod.ts";
import type { RunOrder } from "../../messages/mod.ts";
import type { BatchTask } from "./batch_task.ts";

export interface CreateRunOrderOptions {
  /** Crashes of workers that the agents have reported. */
  crashHistory: CrashHistory;
  /** Factor by which tasks run longer away from the rack of their data. */
  farFactor: number;
}

/** Creates the order to start the latest run of a task that has been placed. */
export function createRunOrder(
  task: BatchTask,
  { crashHistory, farFactor }: CreateRunOrderOptions,
): RunOrder {
  const { cpuMillis, memoryMb, gpus } = task.step.resources;
  return {
    task: task.name,
    run: task.run,
    cpuMillis,
    memoryMb,
    gpus,
    expectedMs: getExpectedMs(task, farFactor),
    crashes: crashHistory.getCount(task.name),
    crashedAfterMs: crashHistory.getLatestRunTimeMs(task.name),
    canBeDeclined: task.canBeDeclined,
    recheckAfterMs: getRecheckAfterMs(task),
  };
}

/**
 * Gets the expected run time of a task that has been placed, on a worker of average
 * speed. An agent learns the speed of its worker by it, so it includes the way to
 * the data.
 */
function getExpectedMs({ step, placed }: BatchTask, farFactor: number): number {
  return placed?.isFar === true
    ? Math.round(step.expectedMs * farFactor)
    : step.expectedMs;
}

/** Gets when the agent checks a run that waits for a place near its data. */
function getRecheckAfterMs(
  { placed, canBeDeclined }: BatchTask,
): number | undefined {
  const recheckAfterMs = placed?.place?.kind === "wait"
    ? placed.place.recheckAfterMs
    : Infinity;
  return canBeDeclined && Number.isFinite(recheckAfterMs)
    ? Math.round(recheckAfterMs)
    : undefined;
}
