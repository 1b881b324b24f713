import type { BatchStep } from "./batch_step.ts";

/** A job whose answer is its end. */
export interface BatchJob {
  readonly id: string;
  /** What the workers run; opaque. */
  readonly spec: string;
  readonly steps: readonly BatchStep[];
}
