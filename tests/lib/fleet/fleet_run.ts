import type { QueuedRun } from "../../../src/state/batch/mod.ts";

/** A run of a simulated job. */
export interface FleetRun extends QueuedRun {
  /** Run time on the slowest workers, in milliseconds; nobody knows it. */
  readonly workMs: number;
  readonly entry: number;
  /** Identifies its job. */
  readonly jobId: string;
  readonly canBeDeclined: boolean;
  /** When the grants of its job arrive. */
  readonly startableAt: number;
  startedAt: number;
  onEnd(): void;
  onDecline(): void;
}
