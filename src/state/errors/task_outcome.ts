/**
 * What a response states about a task: it ran to its end ("run"), it never
 * started ("not run"), or neither is known ("unknown").
 */
export type TaskOutcome = "run" | "not run" | "unknown";
