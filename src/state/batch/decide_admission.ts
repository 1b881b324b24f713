import type { AdmissionDecision } from "./admission_decision.ts";
import type { PlacedTask } from "./placed_task.ts";

/** Shortest advised wait for a new try, in milliseconds. */
const MIN_RETRY_AFTER_MS = 1_000;

export interface DecideAdmissionOptions {
  /** Tasks of the first steps. */
  taskCount: number;
  placements: readonly PlacedTask[];
  /** Are there workers of the service that take work? */
  hasWorkers: boolean;
  /** Time in which the job must be answered, in milliseconds. */
  timeLeftMs: number;
}

/**
 * Decides whether a job is started. It answers overload: a job whose last task
 * is not expected to end in time is refused before anything of it has run, so
 * that its work does not delay others in vain.
 */
export function decideAdmission(
  options: DecideAdmissionOptions,
): AdmissionDecision {
  const { taskCount, placements, hasWorkers, timeLeftMs } = options;
  if (!hasWorkers) {
    return refuse("no_capacity", MIN_RETRY_AFTER_MS);
  }
  if (placements.length < taskCount) {
    return { kind: "refused", error: "unplaceable", retryAfterMs: 0 };
  }
  const endMs = Math.max(0, ...placements.map((placed) => placed.endMs));
  return endMs > timeLeftMs
    ? refuse("deadline_unreachable", endMs - timeLeftMs)
    : { kind: "admitted", endMs };
}

function refuse(
  error: "no_capacity" | "deadline_unreachable",
  retryAfterMs: number,
): AdmissionDecision {
  return {
    kind: "refused",
    error,
    retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, retryAfterMs),
  };
}
