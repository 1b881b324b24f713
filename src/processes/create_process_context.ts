import { randomUUID } from "node:crypto";
import { DepartureHistory } from "../coordination/claims/mod.ts";
import { LogFollower } from "../coordination/follower/mod.ts";
import { Metrics } from "../state/metrics/mod.ts";
import type { ProcessSettings } from "../state/process_settings/mod.ts";
import { ClusterView } from "../state/view/mod.ts";
import { HttpLogService } from "../transport/log/mod.ts";
import { createLogger } from "./create_logger.ts";
import { TimelineObserver } from "./timeline_observer.ts";
import { RateLimitedLogger } from "./rate_limited_logger.ts";
import { MeasuredLogService } from "./measured_log_service.ts";
import type { ProcessContext } from "./process_context.ts";
import { ViewMonitor } from "./view_monitor.ts";

/** Creates the context that the components of an entry or agent share. */
export function createProcessContext(
  settings: ProcessSettings,
  role: "entry" | "agent",
): ProcessContext {
  const metrics = new Metrics();
  const logger = createLogger(settings);
  const rateLimitedLogger = new RateLimitedLogger({ logger });
  const timelineObserver = new TimelineObserver({ metrics, rateLimitedLogger });
  const log = new MeasuredLogService(
    new HttpLogService(settings.logAddress),
    metrics,
  );
  const view = new ClusterView();
  const follower = new LogFollower({
    view,
    log,
    zone: settings.zone,
    role,
  });
  const departureHistory = new DepartureHistory({ follower });
  const viewMonitor = new ViewMonitor({
    follower,
    metrics,
    rateLimitedLogger,
  });
  metrics.setGauge("view_offset", () => view.offset);
  metrics.setGauge("view_revision", () => view.revision);
  metrics.setGauge(
    "view_age_seconds",
    () => Math.min(follower.getViewAgeMs() / 1_000, 1e9),
  );
  return {
    settings,
    processId: randomUUID(),
    log,
    follower,
    departureHistory,
    metrics,
    logger,
    rateLimitedLogger,
    timelineObserver,
    viewMonitor,
  };
}
