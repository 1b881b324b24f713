import { z } from "zod";

/** What a process says about its view of the log, `GET /v1/view?brief=true`. */
export const ProcessView = z.object({
  memberId: z.string().optional(),
  offset: z.int(),
  revision: z.int(),
  ageMs: z.number(),
  canStartWork: z.boolean(),
  /** Offsets that other members have confirmed to this one, by member id. */
  confirmed: z.record(z.string(), z.int()),
});

export type ProcessView = z.infer<typeof ProcessView>;
