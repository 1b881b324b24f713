/** Reason why a worker refused an order. */
export type WorkerRefusal =
  | "stale_fence"
  | "old_run"
  | "past_lease"
  | "no_room"
  | "unhealthy"
  | "other_worker"
  | "invalid";
