import type { LoggedRun } from "./logged_run.ts";

/** Two runs of a task that were executing at the same time, or may have been. */
export interface RunOverlap {
  /** The run that started first. */
  readonly first: LoggedRun;
  readonly second: LoggedRun;
  /** Whether they overlap however late a run began and however early it ended. */
  readonly certainty: "certain" | "possible";
  /** Shortest and longest time of the overlap, in milliseconds. */
  readonly leastMs: number;
  readonly mostMs: number;
}
