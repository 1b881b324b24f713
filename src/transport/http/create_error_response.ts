import { type DispatchError, ERROR_RESPONSES } from "../../state/errors/mod.ts";
import { createJsonResponse } from "./create_json_response.ts";
import type { HttpResponse } from "./http_response.ts";

/** Creates the HTTP response for an error, as its kind defines it. */
export function createErrorResponse(error: DispatchError): HttpResponse {
  const { status, outcome } = ERROR_RESPONSES[error.kind];
  const response = createJsonResponse(status, {
    status: "failed",
    error: { ...error, outcome },
  });
  return { ...response, headers: { "x-error-kind": error.kind } };
}
