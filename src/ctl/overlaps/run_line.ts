import * as z from "zod";

/** Schema of the log lines of an agent about one run. */
export const RunLine = z.object({
  time: z.number(),
  process: z.string(),
  job: z.string(),
  task: z.string(),
  run: z.number(),
  entry: z.string().optional(),
  outcome: z.string().optional(),
  runMs: z.number().default(0),
});

export type RunLine = z.infer<typeof RunLine>;
