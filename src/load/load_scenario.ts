import type { LoadEvent } from "./load_event.ts";

/** What a run offers to the cluster. */
export interface LoadScenario {
  readonly name: string;
  /** Offered work as a share of the capacity. */
  readonly load: number;
  /** Time during which jobs arrive, in milliseconds. */
  readonly durationMs: number;
  /**
   * Bursts, during which arrivals are more frequent by a factor; the load over
   * the whole run stays.
   */
  readonly bursts?: {
    readonly everyMs: number;
    readonly lengthMs: number;
    readonly factor: number;
  };
  readonly events: readonly LoadEvent[];
}
