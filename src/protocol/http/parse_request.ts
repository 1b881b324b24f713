import type { Submission } from "../../coordination/entry/mod.ts";
import { getDigest } from "../../state/hashing/mod.ts";
import { formatRequestAnswer } from "./format_request_answer.ts";
import type { RequestContext } from "./request_context.ts";

/**
 * Parses `POST /v1/requests/{service}`: a job of one task with the raw body.
 * @param body - The raw body.
 * @param context - What the headers state.
 * @param options - Names of the service and of the job below it, and whether
 * the request may run more than once.
 */
export function parseRequest(
  body: Uint8Array,
  context: RequestContext,
  options: { service: string; job?: string | undefined; repeatable: boolean },
): Submission {
  const scope = `${options.service}/${options.repeatable}/`;
  return {
    key: `${context.customer}/${context.idempotencyKey}`,
    fingerprint: getDigest(Buffer.concat([Buffer.from(scope), body])),
    customer: context.customer,
    team: context.team,
    service: options.service,
    job: options.job,
    tasks: [{ index: 0, body, repeatable: options.repeatable }],
    formatAnswer: (outcome) =>
      formatRequestAnswer(context.idempotencyKey, outcome),
  };
}
