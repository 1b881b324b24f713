import type { EventLog } from "../coordination/ports/mod.ts";
import type { Metrics } from "../state/metrics/mod.ts";
import type { RefusalCause } from "../transport/http/mod.ts";

/** Time between two log lines for the same cause, in milliseconds. */
const LINE_INTERVAL_MS = 1_000;

export interface RefusalRecorderOptions {
  /** Name of the server in metrics and log lines. */
  server: string;
  log: EventLog;
  metrics: Metrics;
  /** Monotonic clock in milliseconds. */
  getTime?: () => number;
}

/**
 * Counts what the limits of a server refuse. The log gets a line a second for each cause,
 * because a crowd of clients causes thousands of refusals.
 */
export class RefusalRecorder {
  readonly #options: RefusalRecorderOptions;
  readonly #causes = new Map<
    RefusalCause,
    { loggedAt: number; count: number }
  >();

  constructor(options: RefusalRecorderOptions) {
    this.#options = options;
  }

  record(cause: RefusalCause, remoteAddress: string): void {
    const { server, log, metrics, getTime = () => performance.now() } =
      this.#options;
    metrics.incrementCounter("http_refusals", 1, { labels: { server, cause } });
    const now = getTime();
    const state = this.#causes.get(cause) ?? { loggedAt: -Infinity, count: 0 };
    this.#causes.set(cause, state);
    state.count++;
    if (now - state.loggedAt >= LINE_INTERVAL_MS) {
      log.record("http_refused", {
        server,
        cause,
        remoteAddress,
        /** Refusals since the last line for this cause. */
        count: state.count,
      });
      state.loggedAt = now;
      state.count = 0;
    }
  }
}
