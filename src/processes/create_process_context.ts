import { Departures } from "../coordination/claims/mod.ts";
import { LogFollower, VIEW_LIMITS } from "../coordination/follower/mod.ts";
import { Metrics } from "../state/metrics/mod.ts";
import type { ProcessSettings } from "../state/process_settings/mod.ts";
import { ClusterView } from "../state/view/mod.ts";
import { HttpLogService } from "../transport/log/mod.ts";
import { createLogger } from "./create_logger.ts";
import type { ProcessContext } from "./process_context.ts";

/** Creates what the parts of an entry or an agent share. */
export function createProcessContext(
  settings: ProcessSettings,
  role: "entry" | "agent",
): ProcessContext {
  const log = new HttpLogService(settings.logAddress);
  const view = new ClusterView();
  const readAfterMs = role === "agent" ? VIEW_LIMITS.agentReadAfterMs : 0;
  const follower = new LogFollower({
    view,
    log,
    zone: settings.zone,
    readAfterMs,
  });
  const departures = new Departures({ follower });
  const metrics = new Metrics();
  metrics.setGauge("view_offset", () => view.offset);
  metrics.setGauge("view_revision", () => view.revision);
  metrics.setGauge(
    "view_age_seconds",
    () => Math.min(follower.getViewAgeMs() / 1_000, 1e9),
  );
  const logger = createLogger(settings);
  return { settings, log, follower, departures, metrics, logger };
}
