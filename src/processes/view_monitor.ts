import { type LogFollower, VIEW_LIMITS } from "../coordination/follower/mod.ts";
import type { Metrics } from "../state/metrics/mod.ts";
import type { RateLimitedLogger } from "./rate_limited_logger.ts";

/** Interval of the check, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/** Whether work may start, and why. */
type ViewState = "unread" | "fresh" | "outage" | "stale";

export interface ViewMonitorOptions {
  follower: LogFollower;
  metrics: Metrics;
  rateLimitedLogger: RateLimitedLogger;
}

/** Reports the age of the view, outage mode and removed members. */
export class ViewMonitor {
  readonly #options: ViewMonitorOptions;
  #state: ViewState = "unread";

  constructor(options: ViewMonitorOptions) {
    this.#options = options;
    options.follower.addListener((event, offset) => {
      if (event.type === "removed") {
        const { id, zone } = event.member;
        options.metrics.incrementCounter("members_removed");
        options.rateLimitedLogger.write("warn", "member removed", {
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
      this.check();
      await new Promise((resolve) => setTimeout(resolve, CHECK_INTERVAL_MS));
    }
  }

  /**
   * Records the age of the view, and writes a line when its state has changed.
   */
  check(): void {
    const { follower, metrics, rateLimitedLogger: limiter } = this.#options;
    const ageMs = follower.getViewAgeMs();
    if (ageMs === Infinity) {
      return;
    }
    metrics.recordTime("view_age_sampled", ageMs);
    const state = getState(follower);
    const before = this.#state;
    this.#state = state;
    if (state === before) {
      return;
    }
    const fields = { viewAgeMs: Math.round(ageMs) };
    if (before === "outage") {
      limiter.write("warn", "outage mode left", fields);
    }
    if (state === "outage") {
      limiter.write("warn", "outage mode entered", fields);
    }
    if (state === "stale") {
      limiter.write("warn", "view is too old; no work starts", fields);
    }
    if (state === "fresh") {
      limiter.write("info", "view is fresh", fields);
    }
  }
}

function getState(follower: LogFollower): ViewState {
  if (follower.getViewAgeMs() < VIEW_LIMITS.maxViewAgeMs) {
    return "fresh";
  }
  return follower.canStartWork() ? "outage" : "stale";
}
