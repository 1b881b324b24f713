import type { ErrorKind } from "../../../state/errors/mod.ts";

/** The answer to a job. */
export type BatchAnswer =
  | { readonly kind: "completed" }
  /** A task has failed as often as its route allows, or can run nowhere. */
  | { readonly kind: "failed" }
  | {
    readonly kind: "error";
    readonly error: ErrorKind;
    /** Time after which a new try is worth it, in milliseconds. */
    readonly retryAfterMs?: number;
  };
