import type { TimeRange } from "./time_range.ts";

/** Run of a task at an agent, as the agent's log describes it. */
export interface LoggedRun {
  readonly job: string;
  readonly task: string;
  readonly run: number;
  readonly agent: string;
  /** Entry that ordered the run; undefined when its start was not logged. */
  readonly entry: string | undefined;
  readonly start: TimeRange;
  readonly end: TimeRange;
  /** Outcome of the run; undefined when the agent did not log its end. */
  readonly outcome: string | undefined;
}
