/** Limits on what the clients of an HTTP server may make the process hold. */
export interface HttpLimits {
  /** Largest body of a request, in bytes. */
  readonly maxBodyBytes: number;
  /** Largest request line and headers of a request, in bytes. */
  readonly maxHeaderBytes: number;
  /** Memory for requests and unsent responses of all connections, in bytes. */
  readonly memoryBytes: number;
  readonly maxConnections: number;
  /** Largest number of requests on one connection whose responses are not yet sent. */
  readonly maxRequestsAhead: number;
  /** Longest time from the first byte of a request to the end of its headers, in ms. */
  readonly headerTimeoutMs: number;
  /** Longest time between two parts of a request's body, in milliseconds. */
  readonly bodyIdleTimeoutMs: number;
  /** Longest time from the headers of a request to the end of its body, in milliseconds. */
  readonly bodyTimeoutMs: number;
  /** Longest time for which a client reads nothing of a response, in milliseconds. */
  readonly unreadTimeoutMs: number;
}
