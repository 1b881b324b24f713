import { addResources } from "./add_resources.ts";
import { hasRoom } from "./has_room.ts";
import type { TaskResources } from "./task_resources.ts";
import type { WorkerLoad } from "./worker_load.ts";

export interface AddTaskToLoadOptions {
  resources: TaskResources;
  /** Declared run time, in milliseconds. */
  expectedMs: number;
  priority: number;
}

/** Gets the load of a worker after one more task was sent there. */
export function addTaskToLoad(
  load: WorkerLoad,
  task: AddTaskToLoadOptions,
): WorkerLoad {
  const { resources, expectedMs, priority } = task;
  const coreMs = resources.cpuMillis / 1_000 * expectedMs;
  if (hasRoom(load.free, resources)) {
    return {
      ...load,
      free: addResources(load.free, resources, -1),
      runningCoreMs: load.runningCoreMs + coreMs * load.slowdown,
    };
  }
  const queuedCoreMs = [...load.queuedCoreMs];
  queuedCoreMs[priority] = (queuedCoreMs[priority] ?? 0) + coreMs;
  return { ...load, queuedCoreMs };
}
