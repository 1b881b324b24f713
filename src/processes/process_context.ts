import type { Logger } from "tslog";
import type { DepartureHistory } from "../coordination/claims/mod.ts";
import type { LogFollower } from "../coordination/follower/mod.ts";
import type { LogService } from "../coordination/ports/mod.ts";
import type { Metrics } from "../state/metrics/mod.ts";
import type { ProcessSettings } from "../state/process_settings/mod.ts";
import type { TimelineObserver } from "./timeline_observer.ts";
import type { RateLimitedLogger } from "./rate_limited_logger.ts";
import type { ViewMonitor } from "./view_monitor.ts";

/**
 * Services and state that the components of a process share. They last for all
 * incarnations of its member.
 */
export interface ProcessContext {
  readonly settings: ProcessSettings;
  /** Random id of the process, the same for all its incarnations. */
  readonly processId: string;
  readonly log: LogService;
  readonly follower: LogFollower;
  readonly departureHistory: DepartureHistory;
  readonly metrics: Metrics;
  readonly logger: Logger<Record<string, unknown>>;
  readonly rateLimitedLogger: RateLimitedLogger;
  readonly timelineObserver: TimelineObserver;
  readonly viewMonitor: ViewMonitor;
}
