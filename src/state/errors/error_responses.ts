import type { ErrorResponse } from "./error_response.ts";
import type { ErrorKind } from "./error_kind.ts";

/**
 * The response for each error kind. An entry may state "not run" only when no
 * task of the submission can have started and none can start later.
 */
export const ERROR_RESPONSES: Readonly<Record<ErrorKind, ErrorResponse>> = {
  invalid_request: { status: 400, outcome: "not run" },
  missing_idempotency_key: { status: 400, outcome: "not run" },
  body_too_large: { status: 413, outcome: "not run" },
  unknown_service: { status: 404, outcome: "not run" },
  unknown_customer: { status: 403, outcome: "not run" },
  idempotency_conflict: { status: 422, outcome: "not run" },
  unplaceable: { status: 422, outcome: "not run" },
  quota_exceeded: { status: 429, outcome: "not run" },
  queue_full: { status: 503, outcome: "not run" },
  overloaded: { status: 503, outcome: "not run" },
  deadline_unreachable: { status: 503, outcome: "not run" },
  no_capacity: { status: 503, outcome: "not run" },
  view_stale: { status: 503, outcome: "not run" },
  zone_out: { status: 503, outcome: "not run" },
  upstream_out: { status: 503, outcome: "not run" },
  draining: { status: 503, outcome: "not run" },
  busy: { status: 503, outcome: "not run" },
  coordinator_removed: { status: 503, outcome: "not run" },
  not_ready: { status: 503, outcome: "unknown" },
  expired: { status: 504, outcome: "not run" },
  cancelled: { status: 409, outcome: "not run" },
  upstream_unreachable: { status: 502, outcome: "not run" },
  upstream_failed: { status: 502, outcome: "run" },
  home_unreachable: { status: 503, outcome: "unknown" },
  held_back: { status: 503, outcome: "unknown" },
  coordinator_lost: { status: 502, outcome: "unknown" },
  agent_lost: { status: 502, outcome: "unknown" },
  upstream_reset: { status: 502, outcome: "unknown" },
  corrupt_answer: { status: 502, outcome: "unknown" },
  cancelled_running: { status: 502, outcome: "unknown" },
  timeout: { status: 504, outcome: "unknown" },
  internal: { status: 500, outcome: "unknown" },
  invalid_settings: { status: 400, outcome: "not run" },
  revision_conflict: { status: 409, outcome: "not run" },
  log_unreachable: { status: 503, outcome: "not run" },
  publish_unknown: { status: 503, outcome: "unknown" },
  not_found: { status: 404, outcome: "not run" },
};
