import { z } from "zod";

/** The record with which an agent announces itself in the store. */
export const MemberRecord = z.object({
  name: z.string().min(1),
  /** IPv4 address and port at which the agent accepts streams. */
  address: z.string().regex(/^[0-9.]+:\d+$/),
  zone: z.string(),
});

export type MemberRecord = z.infer<typeof MemberRecord>;
