import { ERROR_RESPONSES, type ErrorKind } from "../state/errors/mod.ts";

/**
 * Gets the exit code of an error. The codes that don't come from an error are 0
 * for success, 1 for a wrong command line, and 7 for a change that was accepted
 * but that some members didn't confirm; see docs/operators.md.
 */
export function getExitCode(kind: ErrorKind): number {
  switch (kind) {
    case "invalid_settings":
    case "invalid_request":
    case "missing_idempotency_key":
    case "body_too_large":
      return 2;
    case "revision_conflict":
    case "idempotency_conflict":
      return 3;
    case "log_unreachable":
      return 4;
    case "publish_unknown":
      return 5;
    case "not_found":
    case "unknown_service":
    case "unknown_customer":
      return 6;
    default:
      return ERROR_RESPONSES[kind].outcome === "not run" ? 8 : 9;
  }
}
