import type { ErrorKind } from "./error_kind.ts";

/** An error of a known kind, used as the error side of every `Result`. */
export interface DispatchError {
  readonly kind: ErrorKind;
  readonly message: string;
  /** The field or path that the error is about, for input errors. */
  readonly path?: string;
}
