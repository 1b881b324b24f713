/**
 * How a run ended: `done`; `failed` by its own or the worker's fault; `stopped`
 * on an order; `lost` with its lease or worker; `returned`, because the agent
 * takes no work; `expired`, because it could not end in time. The last two
 * never started.
 */
export type RunOutcome =
  | "done"
  | "failed"
  | "stopped"
  | "lost"
  | "returned"
  | "expired";
