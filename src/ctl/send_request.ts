import { err, ok, type Result } from "neverthrow";
import * as http from "node:http";
import { createError, type DispatchError } from "../state/errors/mod.ts";
import type { ProcessResponse } from "./process_response.ts";

/** Default time limit of a request, in milliseconds. */
const DEFAULT_TIMEOUT_MS = 2_000;

export interface SendRequestOptions {
  method?: string;
  headers?: Record<string, string>;
  body?: Buffer;
  timeoutMs?: number;
}

/**
 * Sends an HTTP request to an entry or an agent and reads the whole response.
 * Fails with `not_ready` if the process can't be reached or the response isn't
 * complete within the time limit.
 * @param address - `host:port` of the HTTP server of the process.
 * @param path - Path and query of the request.
 */
export function sendRequest(
  address: string,
  path: string,
  options: SendRequestOptions = {},
): Promise<Result<ProcessResponse, DispatchError>> {
  const { method = "GET", headers = {}, body } = options;
  return new Promise((resolve) => {
    const fail = (error: Error) =>
      resolve(
        err(createError("not_ready", `${address}: ${error.message}`)),
      );
    const request = http.request(`http://${address}${path}`, {
      method,
      headers,
      signal: AbortSignal.timeout(options.timeoutMs ?? DEFAULT_TIMEOUT_MS),
    });
    request.on("error", fail);
    request.on("response", (response) => {
      readBody(response).then(
        (body) => resolve(ok({ status: response.statusCode ?? 0, body })),
        fail,
      );
    });
    request.end(body);
  });
}

async function readBody(response: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  for await (const chunk of response) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}
