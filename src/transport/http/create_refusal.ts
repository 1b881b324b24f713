import { createError } from "../../state/errors/mod.ts";
import type { AnsweredCause } from "./answered_cause.ts";
import { createErrorResponse } from "./create_error_response.ts";
import type { HttpResponse } from "./http_response.ts";

/** Delay after which a refused client may send its request again, in seconds. */
const RETRY_AFTER_S = "1";

/** Creates the response to a request that a limit refuses before anything has run. */
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
    case "memory":
      return createOverloadResponse("requests hold too much memory");
    case "requests_ahead":
      return createOverloadResponse(
        "too many requests of this connection are not answered",
      );
    default:
      return cause satisfies never;
  }
}

function createOverloadResponse(message: string): HttpResponse {
  const response = createErrorResponse(createError("overloaded", message));
  return {
    ...response,
    headers: { ...response.headers, "retry-after": RETRY_AFTER_S },
  };
}
