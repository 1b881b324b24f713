import type { EndedRun } from "./ended_run.ts";
import type { ActiveRun } from "./active_run.ts";

/** What runs at a worker and what has ended there. */
export interface LeaseReport {
  readonly kind: "report";
  readonly workerClockMs: number;
  /** Start of this life of the worker, in milliseconds since 1970. */
  readonly bornAtMs: number | undefined;
  readonly running: readonly ActiveRun[];
  readonly ended: readonly EndedRun[];
}
