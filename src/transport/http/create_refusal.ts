import { createError } from "../../state/errors/mod.ts";
import type { AnsweredCause } from "./answered_cause.ts";
import { createErrorResponse } from "./create_error_response.ts";
import type { HttpResponse } from "./http_response.ts";

/** Creates the response to a request that a limit refuses. */
export function createRefusal(cause: AnsweredCause): HttpResponse {
  switch (cause) {
    case "body_size":
      return createErrorResponse(
        createError("body_too_large", "the request body is too large"),
      );
    case "header_size":
      return {
        ...createErrorResponse(
          createError("invalid_request", "the headers are too large"),
        ),
        status: 431,
      };
    default:
      return cause satisfies never;
  }
}
