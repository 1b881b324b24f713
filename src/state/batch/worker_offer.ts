import type { TaskResources } from "./task_resources.ts";

/** What a worker offers when it is there and has its full capacity. */
export interface WorkerOffer {
  readonly labels: readonly string[];
  readonly capacity: TaskResources;
}
