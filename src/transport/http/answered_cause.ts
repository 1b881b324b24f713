import type { RefusalCause } from "./refusal_cause.ts";

/** Causes of which the client is told. */
export type AnsweredCause = Extract<
  RefusalCause,
  "body_size" | "header_size" | "memory" | "requests_ahead"
>;
