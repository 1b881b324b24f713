/** Limits on requests that a configuration may set; others stay as the process has them. */
export interface RequestLimits {
  /** Largest request line and headers, in bytes. */
  readonly maxHeaderBytes?: number;
  /** Longest time from the first byte of a request to the end of its headers, in ms. */
  readonly headerTimeoutMs?: number;
  /** Longest time between two parts of a request's body, in milliseconds. */
  readonly idleTimeoutMs?: number;
}
