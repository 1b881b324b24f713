import type { HttpLimits } from "./http_limits.ts";

/**
 * Limits of a server that is given no others. Bodies fit a job of 150 tasks of the largest
 * size that is allowed by default.
 */
export const DEFAULT_HTTP_LIMITS: HttpLimits = {
  maxBodyBytes: 33_554_432,
  maxHeaderBytes: 16_384,
  memoryBytes: 268_435_456,
  maxConnections: 8_192,
  maxRequestsAhead: 64,
  headerTimeoutMs: 10_000,
  bodyIdleTimeoutMs: 15_000,
  bodyTimeoutMs: 120_000,
  unreadTimeoutMs: 75_000,
};
