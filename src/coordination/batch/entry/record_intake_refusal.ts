import {
  getPriorityLabel,
  type IntakeCause,
  type Route,
} from "../../../state/batch/mod.ts";
import type { Metrics } from "../../../state/metrics/mod.ts";
import type { EventLog } from "../../ports/mod.ts";

export interface RecordIntakeRefusalOptions {
  job: string;
  route: Route;
  cause: IntakeCause;
  /** Time after which the client should retry, in milliseconds. */
  retryAfterMs: number;
  /** Further fields of the log line. */
  readonly [field: string]: unknown;
}

/** Records that an entry has refused a request for want of processor time. */
export function recordIntakeRefusal(
  { log, metrics }: { log: EventLog; metrics: Metrics },
  { route, retryAfterMs, ...fields }: RecordIntakeRefusalOptions,
): void {
  const { priority } = route;
  log.record("job_intake", {
    ...fields,
    route: route.name,
    priority,
    kind: "refused",
    retryAfterMs: Math.round(retryAfterMs),
  });
  metrics.incrementCounter("jobs", 1, { labels: { outcome: "overloaded" } });
  metrics.incrementCounter("intake_refusals", 1, {
    labels: { cause: fields.cause, priority: getPriorityLabel(priority) },
  });
}
