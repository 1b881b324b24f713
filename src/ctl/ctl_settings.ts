import { z } from "zod";

/** The settings file of ctl. */
export const CtlSettings = z.strictObject({
  /** `host:port` of the platform's log service. */
  logAddress: z.string().regex(/^.+:\d+$/, "must be a host and a port"),
  /** Name that changes are published under. */
  operator: z.string().min(1).max(128).optional(),
});

export type CtlSettings = z.infer<typeof CtlSettings>;
