import { ERROR_ANSWERS } from "./error_answers.ts";
import type { ErrorKind } from "./error_kind.ts";

/**
 * Is the text one of the known error kinds? Used for kinds that arrive from
 * another process.
 */
export function isErrorKind(text: string): text is ErrorKind {
  return Object.hasOwn(ERROR_ANSWERS, text);
}
