import { ERROR_RESPONSES } from "./error_responses.ts";
import type { ErrorKind } from "./error_kind.ts";

/**
 * Returns whether the text is a known error kind. Used for kinds that arrive
 * from another process.
 */
export function isErrorKind(text: string): text is ErrorKind {
  return Object.hasOwn(ERROR_RESPONSES, text);
}
