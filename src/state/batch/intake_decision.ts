import type { IntakeCause } from "./intake_cause.ts";

/** Whether an entry takes a request, and if not, when to try again. */
export type IntakeDecision =
  | { readonly kind: "accepted" }
  | {
    readonly kind: "refused";
    readonly cause: IntakeCause;
    /** Time after which a retry may succeed, in milliseconds. */
    readonly retryAfterMs: number;
  };
