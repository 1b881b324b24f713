/**
 * How a task came to have two runs, as far as the logs show it.
 *
 * `both_admitted`: two entries admitted the job within a second.
 * `entry_ended`: the entry of one run had ended when another one admitted the job.
 * `placed_again`: an entry placed the task again beside the run of another entry.
 * `admitted_later`: another entry admitted the job more than a second later.
 * `one_entry`: both runs are of one entry.
 * `unknown`: the admission by an entry is not logged.
 */
export type OverlapCause =
  | "both_admitted"
  | "entry_ended"
  | "placed_again"
  | "admitted_later"
  | "one_entry"
  | "unknown";
