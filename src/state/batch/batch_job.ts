import type { BatchStep } from "./batch_step.ts";

/** A job whose request is answered when all its tasks have ended. */
export interface BatchJob {
  readonly id: string;
  /** Description of the work for the workers, passed on unread. */
  readonly spec: string;
  readonly steps: readonly BatchStep[];
}
