/**
 * What is going on with one task at the entry that coordinates its job. Only a task that
 * is `blocked` or `idle` may be placed, so that it has one run or one planned placement
 * at most.
 *
 * `blocked`: it has not been placed yet, and a step that its step depends on may not be
 * done.
 * `idle`: it has no run, and no placement is planned: it is being placed, or the job is
 * answered.
 * `scheduled`: it is placed after a delay.
 * `due`: it is placed with others in the next turn of the event loop.
 * `sent`: its latest run has been ordered.
 * `lost`: the stream of its latest run was lost, and the run may still be executing.
 * `done`: it has a result.
 */
export type TaskState =
  | "blocked"
  | "idle"
  | "scheduled"
  | "due"
  | "sent"
  | "lost"
  | "done";
