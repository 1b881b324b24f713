/**
 * Whether an agent queues a run, or hands it back to its entry at once, since the
 * worker is expected to have no room for `startMs` milliseconds.
 */
export type QueueingDecision =
  | { readonly kind: "queued" }
  | { readonly kind: "declined"; readonly startMs: number };
