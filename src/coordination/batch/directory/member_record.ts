import { z } from "zod";

/** What an agent announces of itself in the store. */
export const MemberRecord = z.object({
  name: z.string().min(1),
  /** IP address and port for streams. */
  address: z.string().regex(/^[0-9.]+:\d+$/),
  zone: z.string(),
});

export type MemberRecord = z.infer<typeof MemberRecord>;
