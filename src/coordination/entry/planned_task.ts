import type { TaskSpec } from "./task_spec.ts";

/** A task with the rules that it runs under. */
export interface PlannedTask extends TaskSpec {
  readonly key: string;
  readonly customer: string;
  readonly service: string;
  readonly priority: number;
  readonly weight: number;
  readonly timeoutMs: number;
  readonly maxAttempts: number;
  readonly homeId: string | undefined;
}
