import type { Rules } from "./rules.ts";

/** The rules of a job after inheritance: every rule has a value. */
export type ResolvedRules = Required<Rules>;
