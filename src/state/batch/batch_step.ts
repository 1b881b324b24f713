import type { TaskResources } from "./task_resources.ts";

/** Tasks of one job that are alike. */
export interface BatchStep {
  readonly count: number;
  readonly resources: TaskResources;
  /** Declared run time of a task, in milliseconds; a rough figure. */
  readonly expectedMs: number;
  /** Numbers of earlier steps that must be done first. */
  readonly dependsOn: readonly number[];
  /** Label that the worker must have. */
  readonly requiredLabel: string | undefined;
  /** Rack on which the tasks run faster. */
  readonly preferredRack: string | undefined;
  /** Tasks of the step that may run on one worker. */
  readonly maxPerWorker: number;
}
