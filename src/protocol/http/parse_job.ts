import { err, ok, type Result } from "neverthrow";
import type { Submission } from "../../coordination/entry/mod.ts";
import {
  createError,
  createSchemaError,
  type DispatchError,
} from "../../state/errors/mod.ts";
import { getDigest } from "../../state/hashing/mod.ts";
import { formatJobAnswer } from "./format_job_answer.ts";
import { JobBody } from "./job_body.ts";
import type { RequestContext } from "./request_context.ts";

/**
 * Parses the body of `POST /v1/jobs`.
 * @param body - The raw body.
 * @param context - What the headers state.
 */
export function parseJob(
  body: Uint8Array,
  context: RequestContext,
): Result<Submission, DispatchError> {
  let value: unknown;
  try {
    value = JSON.parse(Buffer.from(body).toString("utf8"));
  } catch (error) {
    return err(
      createError("invalid_request", `not JSON: ${(error as Error).message}`),
    );
  }
  const parsed = JobBody.safeParse(value);
  if (!parsed.success) {
    return err(createSchemaError("invalid_request", parsed.error));
  }
  const { tasks, ...job } = parsed.data;
  return ok({
    ...job,
    key: `${context.customer}/${context.idempotencyKey}`,
    fingerprint: getDigest(body),
    customer: context.customer,
    team: context.team,
    tasks: tasks.map((task, index) => ({
      index,
      body: Buffer.from(task.body, task.encoding),
      repeatable: task.repeatable,
      timeoutMs: task.timeoutMs,
    })),
    formatAnswer: (outcome) => formatJobAnswer(context.idempotencyKey, outcome),
  });
}
