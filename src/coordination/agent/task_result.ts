import type { Result } from "../messages/mod.ts";

/**
 * The part of a result message that doesn't depend on the stream that carries
 * it.
 */
export type TaskResult = Omit<Result, "dispatchId" | "credits" | "clock">;
