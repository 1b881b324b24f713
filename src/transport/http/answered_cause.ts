import type { RefusalCause } from "./refusal_cause.ts";

/** Causes of which the client is told, since they hold for the request wherever it goes. */
export type AnsweredCause = Extract<RefusalCause, "body_size" | "header_size">;
