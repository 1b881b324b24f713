/** Where requests for a path go, and the limits they run under. */
export interface Route {
  readonly name: string;
  readonly host: string;
  readonly pathPrefix: string;
  /** Service whose workers run the tasks. */
  readonly service: string;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Longest time for an answer when the client states none, in milliseconds. */
  readonly timeoutMs: number;
  /**
   * A job is in time when it is answered within its expected run time multiplied
   * by `stretch`, and `latencyTargetMs` more.
   */
  readonly stretch: number;
  readonly latencyTargetMs: number;
  /** Runs of a task that may fail before its job fails. */
  readonly maxAttempts: number;
}
