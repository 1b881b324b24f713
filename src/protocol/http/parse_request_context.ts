import { err, ok, type Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";
import { createError, type DispatchError } from "../../state/errors/mod.ts";
import type { RequestContext } from "./request_context.ts";

/** Longest idempotency key, in characters. */
const MAX_KEY_CHARACTERS = 256;

const NAME_PATTERN = /^[A-Za-z0-9_-]{1,64}$/;

/**
 * Parses the headers of a submission.
 * @param headers - The headers.
 * @param options - The idempotency key, where the path of the route carries it
 * instead of the header.
 */
export function parseRequestContext(
  headers: IncomingHttpHeaders,
  options: { key?: string } = {},
): Result<RequestContext, DispatchError> {
  const idempotencyKey = options.key ??
    String(headers["idempotency-key"] ?? "");
  if (idempotencyKey === "") {
    const message = "the header Idempotency-Key is missing";
    return err(createHeaderError("missing_idempotency_key", message));
  }
  if (idempotencyKey.length > MAX_KEY_CHARACTERS) {
    const message =
      `the idempotency key has more than ${MAX_KEY_CHARACTERS} characters`;
    return err(createHeaderError("invalid_request", message));
  }
  const customer = String(headers["x-customer"] ?? "default");
  const team = headers["x-team"];
  // Keys are scoped as customer/key. Without this check, keys of a customer
  // "a/b" could be keys of the customer "a".
  for (const [header, name] of [["X-Customer", customer], ["X-Team", team]]) {
    if (name !== undefined && !NAME_PATTERN.test(String(name))) {
      const message = `${header} must be 1 to 64 letters, digits, _ or -`;
      return err(
        createError("invalid_request", message, { path: String(header) }),
      );
    }
  }
  return ok({
    idempotencyKey,
    customer,
    ...(team === undefined ? {} : { team: String(team) }),
  });
}

function createHeaderError(
  kind: "missing_idempotency_key" | "invalid_request",
  message: string,
): DispatchError {
  return createError(kind, message, { path: "Idempotency-Key" });
}
