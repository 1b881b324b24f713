import type { ConnectionActivity } from "./connection_activity.ts";

/**
 * What the connection table knows of a connection. Times are counted in checks, so that a
 * pause of the process, in which nothing is read, counts as one.
 */
export interface ConnectionState {
  /** Number of the requests whose headers have arrived. */
  readonly requestCount: number;
  /** Number of the requests that were handled and answered. */
  readonly servedCount: number;
  /** Gets what the connection does. */
  getActivity(): ConnectionActivity;
  /** Gets a number that changes with each part of a request or response that passes. */
  getProgress(): number;
}
