import type { FleetJobKind } from "./fleet_job_kind.ts";

export interface FleetOptions {
  entryCount: number;
  workerCount: number;
  kinds: readonly FleetJobKind[];
  /** Work that arrives, as a share of what the workers can do. */
  load: number;
  /** Time in which jobs arrive, in milliseconds. */
  durationMs?: number;
  seed?: number;
  /** Time by which an entry handles or sends a message late, in milliseconds. */
  entryDelayMs?: number;
  /** Whether agents decline runs however long the way to another worker takes. */
  ignoresDetours?: boolean;
}
