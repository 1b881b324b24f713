import type { TaskResources } from "./task_resources.ts";

/** Adds resources to a base, or subtracts them with a factor of -1. */
export function addResources(
  base: TaskResources,
  change: TaskResources,
  factor: 1 | -1 = 1,
): TaskResources {
  return {
    cpuMillis: base.cpuMillis + factor * change.cpuMillis,
    memoryMb: base.memoryMb + factor * change.memoryMb,
    gpus: base.gpus + factor * change.gpus,
  };
}
