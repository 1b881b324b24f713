import type { LoadEvent } from "./load_event.ts";

/** The jobs and events of a load run. */
export interface LoadScenario {
  readonly name: string;
  /** Offered work as a share of the capacity. */
  readonly load: number;
  /** Time during which jobs arrive, in milliseconds. */
  readonly durationMs: number;
  /**
   * Periodic bursts, during which arrivals are more frequent by a factor. The
   * load over the whole run stays the same.
   */
  readonly bursts?: {
    readonly everyMs: number;
    readonly lengthMs: number;
    readonly factor: number;
  };
  readonly events: readonly LoadEvent[];
}
