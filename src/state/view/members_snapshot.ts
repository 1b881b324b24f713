import * as z from "zod";
import { Member } from "./member.ts";

/** The part of a snapshot that holds the members. */
export const MembersSnapshot = z.strictObject({
  members: z.array(
    z.strictObject({
      ...Member.shape,
      phase: z.enum(["live", "leaving"]),
      announcedAt: z.int(),
    }),
  ),
  epoch: z.int().min(0),
  suspicions: z.array(
    z.tuple([z.string(), z.array(z.tuple([z.string(), z.number()]))]),
  ),
});

export type MembersSnapshot = z.infer<typeof MembersSnapshot>;
