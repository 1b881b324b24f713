import type { QueuedRun } from "../../../src/state/batch/mod.ts";

/** A run of a simulated job. */
export interface FleetRun extends QueuedRun {
  /** Run time on the slowest workers, in milliseconds; nobody knows it. */
  readonly workMs: number;
  readonly entry: number;
  /** Identifies its job. */
  readonly jobId: string;
  readonly canBeDeclined: boolean;
  /** Expected time from a decline until the start elsewhere, in milliseconds. */
  readonly detourMs: number;
  /** When the grants of its job arrive. */
  readonly startableAt: number;
  startedAt: number;
  onEnd(runMs: number): void;
  onDecline(): void;
}
