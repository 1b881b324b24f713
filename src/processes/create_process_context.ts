import { LogFollower } from "../coordination/follower/mod.ts";
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
  const follower = new LogFollower({
    view,
    log,
    zone: settings.zone,
    role,
  });
  const metrics = new Metrics();
  metrics.setGauge("view_offset", () => view.offset);
  metrics.setGauge("view_revision", () => view.revision);
  metrics.setGauge(
    "view_age_seconds",
    () => Math.min(follower.getViewAgeMs() / 1_000, 1e9),
  );
  return { settings, log, follower, metrics, logger: createLogger(settings) };
}
