export { createErrorResponse } from "./create_error_response.ts";
export { createJsonResponse } from "./create_json_response.ts";
export type { HttpResponse } from "./http_response.ts";
export type { HttpRequest } from "./http_request.ts";
export type { HttpRequestHead } from "./http_request_head.ts";
export { HttpServer } from "./http_server.ts";
export { HttpClient } from "./http_client.ts";
export type { HttpClientResponse } from "./http_client_response.ts";
