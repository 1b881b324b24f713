import type { ErrorKind } from "../errors/mod.ts";

/** Whether a job is admitted, and if not, why and when to try again. */
export type AdmissionDecision =
  | { readonly kind: "admitted"; readonly endMs: number }
  | {
    readonly kind: "refused";
    readonly error: ErrorKind;
    /** Time after which a retry may succeed, in milliseconds. */
    readonly retryAfterMs: number;
  };
