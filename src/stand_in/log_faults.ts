import * as z from "zod";

/**
 * The faults that the log stand-in can simulate. Each stays in effect until the
 * next request that sets the faults.
 */
export const LogFaults = z.strictObject({
  /** Closes the connection of every request without a response. */
  isDown: z.boolean().default(false),
  /** Accepts requests and never responds to them. */
  isHanging: z.boolean().default(false),
  /** Delay of each response, in milliseconds. */
  delayMs: z.int().min(0).default(0),
  /** Number of next appends that are stored but get no response. */
  lostReplies: z.int().min(0).default(0),
});

export type LogFaults = z.infer<typeof LogFaults>;
