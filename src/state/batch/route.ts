/** The service that handles the requests for a path, and their limits. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  /** Service whose workers run the tasks. */
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Timeout of a request when the client states none, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * The latency target of a job is its expected run time multiplied by
   * `stretch`, plus `latencyTargetMs`.
   */
  readonly stretch: number;
  readonly latencyTargetMs: number;
  /**
   * Multiple of the latency target after which the answer to a job is of no use
   * to its caller. Tasks are not started for such an answer.
   */
  readonly maxLateness: number;
  /** Number of failed runs of one task after which its job fails. */
  readonly maxAttempts: number;
}
