import type { TaskSpec } from "./task_spec.ts";

/** A task with the rules that apply to it. */
export interface PlannedTask extends TaskSpec {
  readonly key: string;
  readonly customer: string;
  readonly team: string;
  readonly service: string;
  /** Key under which run times are recorded. */
  readonly runTimeKey: string;
  readonly priority: number;
  /**
   * Among tasks of equal priority the one with the lower order leaves the queue
   * first.
   */
  readonly order: number;
  readonly weight: number;
  readonly teamWeight: number;
  readonly timeoutMs: number;
  readonly maxAttempts: number;
  readonly hedging: boolean;
  /** Member id of the submission's home, the agent that stores its claim. */
  readonly homeId: string | undefined;
}
