/**
 * Why an agent stops a run.
 *
 * `ordered`: its entry has sent a stop order for the task.
 * `cancelled`: a client has cancelled the job.
 * `superseded`: another entry has got a later submission of the job.
 * `other_entry`: another entry orders a run of the task.
 * `later_run`: its own entry orders another run of the task.
 * `entry_lost`: the stream of its entry has ended.
 * `entry_silent`: its entry has acknowledged no frame for too long.
 * `entry_reconnected`: its entry has opened another stream, or has restarted.
 */
export type StopReason =
  | "ordered"
  | "cancelled"
  | "superseded"
  | "other_entry"
  | "later_run"
  | "entry_lost"
  | "entry_silent"
  | "entry_reconnected";
