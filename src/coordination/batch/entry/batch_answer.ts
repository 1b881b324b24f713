import type { ErrorKind } from "../../../state/errors/mod.ts";

/** The outcome of a job that its client gets. */
export type BatchAnswer =
  | { readonly kind: "completed" }
  /** A task has failed as often as its route allows, or fits on no worker. */
  | { readonly kind: "failed" }
  | {
    readonly kind: "error";
    readonly error: ErrorKind;
    /** Time after which the client should retry, in milliseconds. */
    readonly retryAfterMs?: number;
  };
