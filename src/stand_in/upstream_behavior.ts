import { z } from "zod";

/** How the upstream stand-in behaves. */
export const UpstreamBehavior = z.strictObject({
  /**
   * Answers normally, answers 500 at once, resets in the answer, or never
   * answers.
   */
  mode: z.enum(["normal", "failing", "resetting", "hanging"]).default("normal"),
  /** Run times are divided by this. */
  speed: z.number().min(0.01).max(100).default(1),
  /** Announces the upstream to its agent again and again. */
  isAnnounced: z.boolean().default(true),
});

export type UpstreamBehavior = z.infer<typeof UpstreamBehavior>;
