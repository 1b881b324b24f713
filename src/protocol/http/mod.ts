export { parseRequestContext } from "./parse_request_context.ts";
export { parseJob } from "./parse_job.ts";
export { parseRequest } from "./parse_request.ts";
export type { RequestContext } from "./request_context.ts";
