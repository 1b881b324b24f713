import type { LogLine } from "../log_line.ts";

/** Why an entry started a run, as the logs state it. */
export interface RunStartExplanation {
  /** Latest decision to place the task before the run started. */
  readonly decision: LogLine | undefined;
  /** Latest line that tells the entry of runs for another submission. */
  readonly knowledge: LogLine | undefined;
  /** All lines that led to the run or are about it, in the order of their times. */
  readonly events: readonly LogLine[];
}
