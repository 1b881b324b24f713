import type { DispatchError } from "./dispatch_error.ts";
import type { ErrorKind } from "./error_kind.ts";

/**
 * Creates an error of a known kind.
 * @param kind - Kind from the closed list.
 * @param message - Human-readable description of what went wrong.
 * @param options - The field or path that the error is about.
 */
export function createError(
  kind: ErrorKind,
  message: string,
  options: { path?: string } = {},
): DispatchError {
  return options.path === undefined
    ? { kind, message }
    : { kind, message, path: options.path };
}
