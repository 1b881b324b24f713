import * as z from "zod";

/** The body of `POST /v1/records`: log records in the order of offsets. */
export const RecordsBody = z.strictObject({
  records: z.array(
    z.strictObject({ offset: z.int().min(1), json: z.string() }),
  ).max(500),
});

export type RecordsBody = z.infer<typeof RecordsBody>;
