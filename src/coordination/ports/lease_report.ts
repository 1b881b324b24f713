import type { EndedRun } from "./ended_run.ts";
import type { ActiveRun } from "./active_run.ts";

/** The running and ended runs of a worker. */
export interface LeaseReport {
  readonly kind: "report";
  readonly workerClockMs: number;
  /** Start time of this worker incarnation, in milliseconds since 1970. */
  readonly bornAtMs: number;
  readonly running: readonly ActiveRun[];
  readonly ended: readonly EndedRun[];
}
