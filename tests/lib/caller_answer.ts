import * as z from "zod";

const Outcome = z.enum(["run", "not run", "unknown"]);

/** A job's answer as a caller receives it. */
export const CallerAnswer = z.discriminatedUnion("status", [
  z.object({
    status: z.literal("complete"),
    answers: z.array(
      z.object({ index: z.int(), status: z.int(), body: z.string() }),
    ),
  }),
  z.object({
    status: z.literal("failed"),
    error: z.object({ kind: z.string(), outcome: Outcome }),
    /** Absent when the error concerns the whole submission. */
    tasks: z.array(
      z.object({ index: z.int(), outcome: Outcome, kind: z.string() }),
    ).optional(),
  }),
]);

export type CallerAnswer = z.infer<typeof CallerAnswer>;
