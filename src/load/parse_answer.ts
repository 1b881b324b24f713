import * as z from "zod";
import type { JobResult } from "./job_result.ts";
import type { PlannedJob } from "./planned_job.ts";

const Answer = z.discriminatedUnion("status", [
  z.object({
    status: z.literal("complete"),
    answers: z.array(z.object({ index: z.number(), body: z.string() })),
  }),
  z.object({
    status: z.literal("failed"),
    error: z.object({ kind: z.string(), outcome: z.string() }),
    tasks: z.array(z.object({ kind: z.string() })).default([]),
  }),
]);

const RequestError = z.object({
  error: z.object({ kind: z.string(), outcome: z.string().optional() }),
});

/**
 * Parses an entry's answer to a job, and checks that a complete answer contains
 * the expected result of every task of the job.
 */
export function parseAnswer(
  job: PlannedJob,
  body: string,
): Pick<JobResult, "kind" | "outcome" | "taskKinds"> {
  const value = parseJson(body);
  const answer = Answer.safeParse(value);
  if (!answer.success) {
    const { data } = RequestError.safeParse(value);
    const kind = data?.error.kind ?? "wrong_answer";
    return { kind, outcome: data?.error.outcome, taskKinds: [] };
  }
  if (answer.data.status === "failed") {
    const { error, tasks } = answer.data;
    const taskKinds = tasks.map((task) => task.kind);
    return { kind: error.kind, outcome: error.outcome, taskKinds };
  }
  const { answers } = answer.data;
  const bodies = new Map(answers.map((task) => [task.index, task.body]));
  const isCorrect = answers.length === job.runMs.length &&
    job.runMs.every((runMs, index) =>
      bodies.get(index) === JSON.stringify({ runMs, index })
    );
  return { kind: isCorrect ? "complete" : "wrong_answer", taskKinds: [] };
}

function parseJson(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
