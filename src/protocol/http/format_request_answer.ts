import type { JobOutcome } from "../../coordination/entry/mod.ts";
import type { StoredAnswer } from "../../coordination/messages/mod.ts";
import { formatJobAnswer } from "./format_job_answer.ts";

/**
 * Formats the outcome of a single request as the answer of `POST
 * /v1/requests/{service}`.
 * @param key - Idempotency key as the caller gave it.
 * @param outcome - Outcome of the job of one task.
 */
export function formatRequestAnswer(
  key: string,
  outcome: JobOutcome,
): StoredAnswer {
  const answer = outcome.type === "complete" ? outcome.answers[0] : undefined;
  if (answer === undefined) {
    return formatJobAnswer(key, outcome);
  }
  return {
    status: answer.status,
    contentType: "application/octet-stream",
    body: answer.body,
    headers: { "x-digest": answer.digest, "x-outcome": "run" },
  };
}
