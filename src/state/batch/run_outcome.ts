/**
 * How a run ended: `done`; `failed` through its own or the worker's fault;
 * `stopped` on an order; `lost` with its lease or a worker that left;
 * `crashed`, because its worker ended without notice; `returned`, because the
 * agent could not start it; `declined`, because it would have missed its latency
 * target in the queue of the agent; `expired`, because it could not end before its
 * deadline. Runs with the last three outcomes never started.
 */
export type RunOutcome =
  | "done"
  | "failed"
  | "stopped"
  | "lost"
  | "crashed"
  | "returned"
  | "declined"
  | "expired";
