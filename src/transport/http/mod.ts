export { createErrorAnswer } from "./create_error_answer.ts";
export { createJsonAnswer } from "./create_json_answer.ts";
export type { HttpAnswer } from "./http_answer.ts";
export type { HttpRequest } from "./http_request.ts";
export { HttpServer } from "./http_server.ts";
export { HttpCaller } from "./http_caller.ts";
export type { HttpReply } from "./http_reply.ts";
