/** Tells an entry which jobs an agent has runs or claims of. */
export interface OpenJobsChange {
  /** Whether all open jobs are named, and not only those since the last change. */
  isComplete: boolean;
  /** Jobs that are open, and that the entry was not told of on this stream. */
  openJobIds: string[];
  /** Jobs that are open no longer. */
  endedJobIds: string[];
}
