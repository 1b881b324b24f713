import type { TaskResources } from "./task_resources.ts";

/** Do the free resources hold a task? */
export function hasRoom(free: TaskResources, task: TaskResources): boolean {
  return free.cpuMillis >= task.cpuMillis &&
    free.memoryMb >= task.memoryMb && free.gpus >= task.gpus;
}
