import { type LogFollower, VIEW_LIMITS } from "../coordination/follower/mod.ts";
import type { Metrics } from "../state/metrics/mod.ts";
import type { RateLimitedLogger } from "./rate_limited_logger.ts";

/** Interval of the check, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/** Freshness of the view, which decides whether work may start. */
type ViewState = "unread" | "fresh" | "outage" | "stale";

export interface ViewMonitorOptions {
  follower: LogFollower;
  metrics: Metrics;
  rateLimitedLogger: RateLimitedLogger;
}

/**
 * Records the age of the view in the metrics, and logs changes of outage mode,
 * removed members and skipped records.
 */
export class ViewMonitor {
  readonly #options: ViewMonitorOptions;
  #state: ViewState = "unread";

  constructor(options: ViewMonitorOptions) {
    this.#options = options;
    options.follower.addListener((event, offset) => {
      if (event.type === "skipped") {
        options.metrics.incrementCounter("records_skipped");
        options.rateLimitedLogger.writeLine(
          "warn",
          "unreadable record skipped",
          {
            offset,
          },
        );
      }
      if (event.type === "removed") {
        const { id, zone } = event.member;
        options.metrics.incrementCounter("members_removed");
        options.rateLimitedLogger.writeLine("warn", "member removed", {
          memberId: id,
          zone,
          offset,
        });
      }
    });
  }

  /** Checks at a fixed interval until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.checkView();
      await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
    }
  }

  /**
   * Records the age of the view, and logs a change of its state.
   */
  checkView(): void {
    const { follower, metrics, rateLimitedLogger } = this.#options;
    const ageMs = follower.getViewAgeMs();
    if (ageMs === Infinity) {
      return;
    }
    metrics.recordTime("view_age_sampled", ageMs);
    const state = getViewState(follower);
    const previousState = this.#state;
    this.#state = state;
    if (state === previousState) {
      return;
    }
    const fields = { viewAgeMs: Math.round(ageMs) };
    if (previousState === "outage") {
      rateLimitedLogger.writeLine("warn", "outage mode left", fields);
    }
    if (state === "outage") {
      rateLimitedLogger.writeLine("warn", "outage mode entered", fields);
    }
    if (state === "stale") {
      rateLimitedLogger.writeLine(
        "warn",
        "view is too old; no work starts",
        fields,
      );
    }
    if (state === "fresh") {
      rateLimitedLogger.writeLine("info", "view is fresh", fields);
    }
  }
}

function getViewState(follower: LogFollower): ViewState {
  if (follower.getViewAgeMs() < VIEW_LIMITS.maxViewAgeMs) {
    return "fresh";
  }
  return follower.canStartWork() ? "outage" : "stale";
}
