/**
 * What an answer says about a task: it ran to its end, it never started, or
 * neither is known.
 */
export type TaskOutcome = "run" | "not run" | "unknown";
