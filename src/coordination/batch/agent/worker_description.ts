import type { TaskResources } from "../../../state/batch/mod.ts";

/** A worker's report of its state and capacity. */
export interface WorkerDescription {
  readonly workerId: string;
  /** Start of this incarnation of the worker, in milliseconds since 1970. */
  readonly bornAtMs: number;
  /** Number of the report within one incarnation. */
  readonly sequence: number;
  readonly service: string;
  readonly zone: string;
  readonly isDraining: boolean;
  /** Least time until a draining worker leaves, in milliseconds. */
  readonly remainingMs: number | undefined;
  readonly capacity: TaskResources;
  readonly labels: readonly string[];
  /** Rack of the worker; empty if the worker doesn't name it. */
  readonly rack: string;
}
