import { err, ok, type Result } from "neverthrow";
import type { IncomingHttpHeaders } from "node:http";
import { createError, type DispatchError } from "../../state/errors/mod.ts";
import type { RequestContext } from "./request_context.ts";

/** Longest idempotency key, in characters. */
const MAX_KEY_LENGTH = 256;

const NAME = /^[A-Za-z0-9_-]{1,64}$/;

/**
 * Parses the headers of a submission.
 * @param headers - The headers.
 * @param options - The key where the path states it instead of the header.
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
  if (idempotencyKey.length > MAX_KEY_LENGTH) {
    const message =
      `the idempotency key has more than ${MAX_KEY_LENGTH} characters`;
    return err(createHeaderError("invalid_request", message));
  }
  const customer = String(headers["x-customer"] ?? "default");
  const team = headers["x-team"];
  // Keys are scoped as customer/key. A customer "a/b" could otherwise reach
  // into the keys of "a".
  for (const [path, name] of [["X-Customer", customer], ["X-Team", team]]) {
    if (name !== undefined && !NAME.test(String(name))) {
      const message = `${path} must be 1 to 64 letters, digits, _ or -`;
      return err(
        createError("invalid_request", message, { path: String(path) }),
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
