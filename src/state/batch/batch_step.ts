import type { TaskResources } from "./task_resources.ts";

/** A group of tasks of one job that have the same requirements. */
export interface BatchStep {
  readonly count: number;
  readonly resources: TaskResources;
  /** Declared run time of a task, in milliseconds; a rough estimate. */
  readonly expectedMs: number;
  /** Indexes of earlier steps whose tasks must be done first. */
  readonly dependsOn: readonly number[];
  /** Label that the worker must have. */
  readonly requiredLabel: string | undefined;
  /** Rack on which the tasks run faster. */
  readonly preferredRack: string | undefined;
  /** Whether the tasks run faster when all of them run on one rack. */
  readonly sharesRack: boolean;
  /** Largest number of tasks of the step on one worker. */
  readonly maxPerWorker: number;
}
