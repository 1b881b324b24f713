import { z } from "zod";

/**
 * The faults that the log stand-in can show. Each stays in force until it is
 * changed.
 */
export const LogFaults = z.strictObject({
  /** Refuses all connections' requests by closing them without an answer. */
  isDown: z.boolean().default(false),
  /** Accepts requests and never answers them. */
  isHanging: z.boolean().default(false),
  /** Delay of each answer, in milliseconds. */
  delayMs: z.int().min(0).default(0),
  /** Number of following appends that take effect without an answer. */
  lostReplies: z.int().min(0).default(0),
});

export type LogFaults = z.infer<typeof LogFaults>;
