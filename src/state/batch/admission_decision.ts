import type { ErrorKind } from "../errors/mod.ts";

/** Whether a job is started now, and if not, why and when to come back. */
export type AdmissionDecision =
  | { readonly kind: "admitted"; readonly endMs: number }
  | {
    readonly kind: "refused";
    readonly error: ErrorKind;
    /** Time after which a new try is worth it, in milliseconds. */
    readonly retryAfterMs: number;
  };
