/** Log line of a process about one event. */
export interface LogLine {
  /** Time of day at the process, in milliseconds. */
  readonly time: number;
  /** Name of the process; empty when the line doesn't state it. */
  readonly process: string;
  readonly event: string;
  readonly [field: string]: unknown;
}
