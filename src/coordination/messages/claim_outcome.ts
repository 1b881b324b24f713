/** Outcome of a claim, as decided by the home of its key. */
export type ClaimOutcome =
  | "granted"
  | "running"
  | "done"
  | "conflict"
  | "lost"
  | "moved"
  | "held_back";
