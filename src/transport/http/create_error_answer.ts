import { type DispatchError, ERROR_ANSWERS } from "../../state/errors/mod.ts";
import { createJsonAnswer } from "./create_json_answer.ts";
import type { HttpAnswer } from "./http_answer.ts";

/** Creates the answer of an error, by the table of error kinds. */
export function createErrorAnswer(error: DispatchError): HttpAnswer {
  const { status, outcome } = ERROR_ANSWERS[error.kind];
  const answer = createJsonAnswer(status, {
    status: "failed",
    error: { ...error, outcome },
  });
  return { ...answer, headers: { "x-error-kind": error.kind } };
}
