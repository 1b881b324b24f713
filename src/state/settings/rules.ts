import * as z from "zod";

/**
 * The rules that tasks run under. Each node of the settings tree may state any
 * of them; a rule that a node doesn't state is inherited from its parent.
 */
export const Rules = z.strictObject({
  /** Longest time for one task at its upstream, in milliseconds. */
  timeoutMs: z.int().min(1).max(600_000).optional(),
  /** Longest time from the submission to its answer, in milliseconds. */
  deadlineMs: z.int().min(1).max(3_600_000).optional(),
  /** Largest body of one task, in bytes. */
  maxBodyBytes: z.int().min(1).max(16_777_216).optional(),
  /** Largest number of tasks in one job. */
  maxTasks: z.int().min(1).max(150).optional(),
  /** Largest number of attempts for a repeatable task, including the first. */
  maxAttempts: z.int().min(1).max(10).optional(),
  /**
   * Whether slow repeatable tasks get a second attempt while the first one
   * runs.
   */
  hedging: z.boolean().optional(),
  /**
   * Tasks with a higher priority leave the queue first, within one customer.
   */
  priority: z.int().min(0).max(9).optional(),
});

export type Rules = z.infer<typeof Rules>;
