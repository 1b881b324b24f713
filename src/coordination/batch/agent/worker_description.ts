import type { TaskResources } from "../../../state/batch/mod.ts";

/** What a worker reports of itself. */
export interface WorkerDescription {
  readonly workerId: string;
  /** Start of this life of the worker, in milliseconds since 1970. */
  readonly bornAtMs: number | undefined;
  /** Counts the reports of one life. */
  readonly sequence: number;
  readonly service: string;
  readonly zone: string;
  readonly isDraining: boolean;
  /** Least time until a draining worker leaves, in milliseconds. */
  readonly remainingMs: number | undefined;
  readonly capacity: TaskResources;
  readonly labels: readonly string[];
}
