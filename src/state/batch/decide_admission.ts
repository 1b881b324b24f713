import type { AdmissionDecision } from "./admission_decision.ts";
import type { PlacedTask } from "./placed_task.ts";

/** Shortest time after which a retry is advised, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;

export interface DecideAdmissionOptions {
  /** Number of tasks of the steps that depend on no other step. */
  taskCount: number;
  placements: readonly Pick<PlacedTask, "endMs">[];
  /** Whether any worker of the service accepts work. */
  hasWorkers: boolean;
  /** Time left until the deadline of the job, in milliseconds. */
  timeLeftMs: number;
}

/**
 * Decides whether a job is started. Under overload, a job whose last task is
 * not expected to end in time is refused before any of its tasks has run, so
 * that it does not delay other jobs and then miss its deadline anyway.
 */
export function decideAdmission(
  options: DecideAdmissionOptions,
): AdmissionDecision {
  const { taskCount, placements, hasWorkers, timeLeftMs } = options;
  if (!hasWorkers) {
    return refuse("no_capacity", MIN_RETRY_AFTER_MS);
  }
  if (placements.length < taskCount) {
    return refuse("unplaceable", MIN_RETRY_AFTER_MS);
  }
  const endMs = Math.max(0, ...placements.map((placed) => placed.endMs));
  return endMs > timeLeftMs
    ? refuse("deadline_unreachable", endMs - timeLeftMs)
    : { kind: "admitted", endMs };
}

function refuse(
  error: "no_capacity" | "unplaceable" | "deadline_unreachable",
  retryAfterMs: number,
): AdmissionDecision {
  return {
    kind: "refused",
    error,
    retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, retryAfterMs),
  };
}
