import * as z from "zod";

const Encoding = z.enum(["utf8", "base64"]);

/** The body of `POST /v1/jobs`. */
export const JobBody = z.strictObject({
  service: z.string().min(1).max(64),
  /** Name of a job below the service, whose rules apply. */
  job: z.string().min(1).max(64).optional(),
  tasks: z.array(
    z.strictObject({
      body: z.string(),
      /** Encoding of the body. */
      encoding: Encoding.default("utf8"),
      repeatable: z.boolean().default(false),
      timeoutMs: z.int().min(1).max(600_000).optional(),
    }),
  ).min(1).max(150),
  deadlineMs: z.int().min(1).max(3_600_000).optional(),
  priority: z.int().min(0).max(9).optional(),
});

export type JobBody = z.infer<typeof JobBody>;
