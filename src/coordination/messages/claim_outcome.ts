/** What the home of a key replies to a claim. */
export type ClaimOutcome =
  | "granted"
  | "running"
  | "done"
  | "conflict"
  | "lost"
  | "moved"
  | "held_back";
