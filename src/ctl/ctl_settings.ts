import * as z from "zod";

/** Schema of the settings file of the command-line tool. */
export const CtlSettings = z.strictObject({
  /** `host:port` of the platform's log service. */
  logAddress: z.string().regex(/^.+:\d+$/, "must be a host and a port"),
  /** Name that is recorded as the publisher of changes. */
  operator: z.string().min(1).max(128).optional(),
});

export type CtlSettings = z.infer<typeof CtlSettings>;
