import * as z from "zod";
import { Address } from "../../../state/address/mod.ts";

/** The record with which an agent announces itself in the store. */
export const MemberRecord = z.object({
  name: z.string().min(1),
  /** Address at which the agent accepts streams. */
  address: Address,
  zone: z.string(),
});

export type MemberRecord = z.infer<typeof MemberRecord>;
