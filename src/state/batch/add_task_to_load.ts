import { addResources } from "./add_resources.ts";
import { hasRoom } from "./has_room.ts";
import type { TaskResources } from "./task_resources.ts";
import type { WorkerLoad } from "./worker_load.ts";

export interface AddTaskToLoadOptions {
  resources: TaskResources;
  /** Declared run time, in milliseconds. */
  expectedMs: number;
  priority: number;
  /** Whether a worker has crashed under the task. */
  isSuspect?: boolean;
}

/** Gets the load of a worker after one more task has been sent to it. */
export function addTaskToLoad(
  load: WorkerLoad,
  task: AddTaskToLoadOptions,
): WorkerLoad {
  const { resources, priority } = task;
  const runMs = task.expectedMs * load.slowdown;
  const suspectRuns = load.suspectRuns + (task.isSuspect === true ? 1 : 0);
  if (hasRoom(load.free, resources)) {
    return {
      ...load,
      suspectRuns,
      free: addResources(load.free, resources, -1),
      runningLeftMs: [...load.runningLeftMs, runMs],
    };
  }
  const queuedRuns = [...load.queuedRuns];
  queuedRuns[priority] = (queuedRuns[priority] ?? 0) + 1;
  const queuedMs = [...load.queuedMs];
  queuedMs[priority] = (queuedMs[priority] ?? 0) + runMs;
  return { ...load, suspectRuns, queuedRuns, queuedMs };
}
