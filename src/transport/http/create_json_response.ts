import type { HttpResponse } from "./http_response.ts";

/** Creates a response with a JSON body. */
export function createJsonResponse(
  status: number,
  value: unknown,
): HttpResponse {
  const body = new TextEncoder().encode(JSON.stringify(value) + "\n");
  return { status, contentType: "application/json", body };
}
