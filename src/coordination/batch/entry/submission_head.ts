import type { Route } from "../../../state/batch/mod.ts";

/** What decides when a submission is handled. */
export interface SubmissionHead {
  jobId: string;
  route: Route;
  /** Who has sent it; callers share the time of the entry. */
  caller: string;
  /** Time in which the job must be answered, in milliseconds. */
  timeLeftMs: number;
}
