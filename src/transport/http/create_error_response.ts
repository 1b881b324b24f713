import { type DispatchError, ERROR_RESPONSES } from "../../state/errors/mod.ts";
import { createJsonResponse } from "./create_json_response.ts";
import type { HttpResponse } from "./http_response.ts";

/** Creates the answer of an error, by the table of error kinds. */
export function createErrorResponse(error: DispatchError): HttpResponse {
  const { status, outcome } = ERROR_RESPONSES[error.kind];
  const answer = createJsonResponse(status, {
    status: "failed",
    error: { ...error, outcome },
  });
  return { ...answer, headers: { "x-error-kind": error.kind } };
}
