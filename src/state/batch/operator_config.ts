import type { RequestLimits } from "./request_limits.ts";
import type { Route } from "./route.ts";

/** One published version of the configuration, in full. */
export interface OperatorConfig {
  readonly version: number;
  readonly routes: readonly Route[];
  /** Largest request body, in bytes. */
  readonly maxBodyBytes: number;
  readonly requestLimits?: RequestLimits;
}
