import type { DispatchResult } from "../messages/mod.ts";

/**
 * The part of a result message that doesn't depend on the stream that carries
 * it.
 */
export type TaskResult = Omit<
  DispatchResult,
  "dispatchId" | "credits" | "clock"
>;
