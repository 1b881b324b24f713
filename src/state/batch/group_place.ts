/**
 * Where a task of a group went: to one rack, with all tasks `together` at once or
 * with some that `wait` there, or to one of several racks over which they are `spread`.
 */
export interface GroupPlace {
  readonly kind: "together" | "wait" | "spread";
  /** Rack of the task's own worker. */
  readonly rack: string;
}
