import type { DispatchResult } from "../messages/mod.ts";

/**
 * The fields of a result message that don't depend on the stream on which it is
 * sent.
 */
export type TaskResult = Omit<
  DispatchResult,
  "dispatchId" | "credits" | "clock"
>;
