import { hasRoom } from "./has_room.ts";
import type { TaskResources } from "./task_resources.ts";
import type { WorkerLoad } from "./worker_load.ts";

/**
 * Part of the running work that ends before a full worker has room for one more
 * task: with about ten tasks at different stages the first ends early.
 */
const RUNNING_WAIT_SHARE = 0.35;

/**
 * A task at a worker that fails a share of its runs is expected to need this
 * many times its run time more for each failure.
 */
const FAILURE_COST = 3;

export interface ExpectedEndOptions {
  resources: TaskResources;
  /** Declared run time, in milliseconds. */
  expectedMs: number;
  priority: number;
}

/**
 * Gets the time in which a task is expected to end at a worker, in
 * milliseconds: the wait for room, then the run at the worker's speed.
 */
export function getExpectedEnd(
  load: WorkerLoad,
  options: ExpectedEndOptions,
): number {
  const { resources, expectedMs, priority } = options;
  const aheadCoreMs = load.queuedCoreMs
    .slice(0, priority + 1)
    .reduce((sum, work) => sum + work, 0);
  const cores = Math.max(1, load.capacity.cpuMillis) / 1_000;
  const hasFreeRoom = aheadCoreMs === 0 && hasRoom(load.free, resources);
  const waitMs = hasFreeRoom
    ? 0
    : (RUNNING_WAIT_SHARE * load.runningCoreMs + aheadCoreMs * load.slowdown) /
      cores;
  const failures = 1 + FAILURE_COST * load.failureShare;
  return waitMs + expectedMs * load.slowdown * failures;
}
