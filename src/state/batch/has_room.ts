import type { TaskResources } from "./task_resources.ts";

/** Returns whether a task fits into the free resources. */
export function hasRoom(free: TaskResources, task: TaskResources): boolean {
  return free.cpuMillis >= task.cpuMillis &&
    free.memoryMb >= task.memoryMb && free.gpus >= task.gpus;
}
