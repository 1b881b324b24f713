import * as z from "zod";

/** Response to `GET /v1/view?brief=true`: state of a process's log view. */
export const ProcessView = z.object({
  memberId: z.string().optional(),
  offset: z.int(),
  revision: z.int(),
  ageMs: z.number(),
  canStartWork: z.boolean(),
  /**
   * Log offset that each other member has confirmed to this one, by member id.
   */
  confirmed: z.record(z.string(), z.int()),
});

export type ProcessView = z.infer<typeof ProcessView>;
