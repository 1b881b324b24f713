import type { JobOutcome, TaskAnswer } from "../../coordination/entry/mod.ts";
import type { StoredAnswer } from "../../coordination/messages/mod.ts";
import { ERROR_RESPONSES } from "../../state/errors/mod.ts";

const decoder = new TextDecoder("utf-8", { fatal: true });

/**
 * Formats the outcome of a job as the answer of `POST /v1/jobs`.
 * @param key - Idempotency key as the caller gave it.
 * @param outcome - Outcome of the job.
 */
export function formatJobAnswer(
  key: string,
  outcome: JobOutcome,
): StoredAnswer {
  switch (outcome.type) {
    case "complete":
      return createAnswer(200, {}, {
        key,
        status: "complete",
        answers: outcome.answers.map(formatTaskAnswer),
      });
    case "failed":
      return createAnswer(ERROR_RESPONSES[outcome.error.kind].status, {
        "x-error-kind": outcome.error.kind,
      }, {
        key,
        status: "failed",
        error: { ...outcome.error, outcome: outcome.outcome },
        tasks: outcome.tasks.map(({ index, error, outcome }) => ({
          index,
          outcome,
          kind: error.kind,
        })),
      });
    default:
      return outcome satisfies never;
  }
}

function createAnswer(
  status: number,
  headers: { [name: string]: string },
  body: unknown,
): StoredAnswer {
  const text = JSON.stringify(body) + "\n";
  const contentType = "application/json";
  return {
    status,
    contentType,
    body: new TextEncoder().encode(text),
    headers,
  };
}

function formatTaskAnswer(answer: TaskAnswer) {
  const { index, status, digest } = answer;
  try {
    return {
      index,
      status,
      digest,
      encoding: "utf8",
      body: decoder.decode(answer.body),
    };
  } catch {
    const body = Buffer.from(answer.body).toString("base64");
    return { index, status, digest, encoding: "base64", body };
  }
}
