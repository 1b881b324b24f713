import { parseJson } from "../state/errors/mod.ts";
import type { Timeline } from "../state/timeline/mod.ts";
import type { HttpRequest, HttpResponse } from "../transport/http/mod.ts";
import {
  createErrorResponse,
  createJsonResponse,
} from "../transport/http/mod.ts";
import type { ProcessContext } from "./process_context.ts";
import { RecordsBody } from "./records_body.ts";

export interface StatusRequestOptions {
  context: ProcessContext;
  memberId: string | undefined;
  timeline: Timeline | undefined;
  isReady: boolean;
  /**
   * Log offsets that other members have confirmed to this process, by member
   * id.
   */
  confirmedOffsets: { [memberId: string]: number };
}

/**
 * Handles the requests that entries and agents have in common. Returns
 * undefined for any other request.
 */
export function handleStatusRequest(
  request: HttpRequest,
  options: StatusRequestOptions,
): HttpResponse | undefined {
  const { context, timeline, memberId, isReady } = options;
  switch (`${request.method} /${request.pathSegments.join("/")}`) {
    case "GET /healthz":
      return createJsonResponse(200, { status: "ok" });
    case "GET /readyz":
      return createJsonResponse(isReady ? 200 : 503, { ready: isReady });
    case "GET /metrics":
      return {
        status: 200,
        contentType: "text/plain; version=0.0.4",
        body: new TextEncoder().encode(context.metrics.format()),
      };
    case "GET /v1/events": {
      const key = request.query.get("key");
      const events = timeline?.getEvents(key === null ? {} : { key }) ?? [];
      return createJsonResponse(200, { memberId, events });
    }
    case "GET /v1/view":
      return createJsonResponse(200, createViewBody(request, options));
    case "POST /v1/records":
      return applyRecords(request, context);
    default:
      return undefined;
  }
}

/**
 * Applies log records that the command-line tool (`ctl`) has read and sent.
 * Only records that directly follow the offset of the view have an effect.
 */
function applyRecords(
  request: HttpRequest,
  context: ProcessContext,
): HttpResponse {
  const body = parseJson(RecordsBody, request.body, "invalid_request");
  if (body.isErr()) {
    return createErrorResponse(body.error);
  }
  context.follower.applyRecords(body.value.records);
  return createJsonResponse(200, { offset: context.follower.view.offset });
}

/**
 * Creates the body that describes the view. In a cluster of the target size the
 * settings and members take several MB, so `?brief=true` leaves them out.
 */
function createViewBody(
  request: HttpRequest,
  options: StatusRequestOptions,
): unknown {
  const { follower } = options.context;
  const { view } = follower;
  return {
    memberId: options.memberId,
    offset: view.offset,
    revision: view.revision,
    epoch: view.epoch,
    ageMs: Math.min(
      Math.round(follower.getViewAgeMs()),
      Number.MAX_SAFE_INTEGER,
    ),
    canStartWork: follower.canStartWork(),
    confirmed: options.confirmedOffsets,
    ...(request.query.get("brief") === "true" ? {} : {
      settings: view.settings,
      members: [...view.getMembers("entry"), ...view.getMembers("agent")],
    }),
  };
}
