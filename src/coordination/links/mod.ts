export type { LogPage } from "./log_page.ts";
export type { LogService } from "./log_service.ts";
export type { PeerCaller } from "./peer_caller.ts";
export type { PeerStream } from "./peer_stream.ts";
export type { UpstreamAnswer } from "./upstream_answer.ts";
export type { UpstreamCaller } from "./upstream_caller.ts";
export type { UpstreamRequest } from "./upstream_request.ts";
