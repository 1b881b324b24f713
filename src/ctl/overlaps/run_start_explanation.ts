import type { LogLine } from "../log_line.ts";
import type { ClaimState } from "./claim_state.ts";
import type { EntryPause } from "./entry_pause.ts";

/** Why an entry started a run, as the logs state it. */
export interface RunStartExplanation {
  /** Latest decision to place the task before the run started. */
  readonly decision: LogLine | undefined;
  /** The entry's admission of the submission that the run belongs to. */
  readonly admission: LogLine | undefined;
  /** Pauses of the entry before the admission. */
  readonly pauses: readonly EntryPause[];
  /** State of the job's claim when the run started. */
  readonly claim: ClaimState;
  /** All lines about the job's claim. */
  readonly claimLines: readonly LogLine[];
  /** Latest line that tells the entry of runs for another submission. */
  readonly knowledge: LogLine | undefined;
  /** All lines that led to the run or are about it, in the order of their times. */
  readonly events: readonly LogLine[];
}
