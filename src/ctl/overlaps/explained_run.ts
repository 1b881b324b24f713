import type { LoggedRun } from "./logged_run.ts";
import type { RunStartExplanation } from "./run_start_explanation.ts";

/** A run, and why it was started. */
export interface ExplainedRun extends LoggedRun, RunStartExplanation {}
