import * as z from "zod";

/**
 * The body of `PUT /v1/upstream`, by which an upstream announces itself to its
 * agent.
 */
export const UpstreamAnnouncement = z.strictObject({
  /** Services that the upstream offers. */
  services: z.array(z.string().regex(/^[A-Za-z0-9_-]{1,64}$/)).min(1).max(256),
  /** Largest number of tasks that the upstream runs at one time. */
  slots: z.int().min(1).max(4096).default(8),
});

export type UpstreamAnnouncement = z.infer<typeof UpstreamAnnouncement>;
