import * as z from "zod";

/** How the upstream stand-in behaves. */
export const UpstreamBehavior = z.strictObject({
  /**
   * `normal` answers after the run time, `failing` answers with status 500 at
   * once, `resetting` resets the connection within the answer, and `hanging`
   * never answers.
   */
  mode: z.enum(["normal", "failing", "resetting", "hanging"]).default("normal"),
  /** Factor that run times are divided by. */
  speed: z.number().min(0.01).max(100).default(1),
  /** Whether the upstream announces itself to its agent periodically. */
  isAnnounced: z.boolean().default(true),
});

export type UpstreamBehavior = z.infer<typeof UpstreamBehavior>;
