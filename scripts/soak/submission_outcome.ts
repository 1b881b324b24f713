/** Outcome of one submission of a job, as the client observed it. */
export type SubmissionOutcome =
  | {
    readonly kind: "answer";
    readonly status: number;
    readonly state?: string;
  }
  | { readonly kind: "not_connected" }
  | { readonly kind: "broken" }
  | { readonly kind: "left" }
  | { readonly kind: "no_answer" };
