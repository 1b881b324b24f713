import * as http from "node:http";
import { err, ok, type Result } from "neverthrow";
import { createError, type DispatchError } from "../../state/errors/mod.ts";
import type { HttpClientResponse } from "./http_client_response.ts";

export interface HttpClientOptions {
  /** Largest number of open connections to one address; 8 by default. */
  maxConnections?: number;
}

export interface SendRequestOptions {
  method: string;
  /** Path and query. */
  path: string;
  headers?: http.OutgoingHttpHeaders;
  body?: Uint8Array | string;
  /** Longest time until the complete response has arrived, in milliseconds. */
  timeoutMs: number;
  /**
   * Longest time between two parts of the response, in milliseconds. If given,
   * `timeoutMs` limits only the time until the first part, so that a response may be
   * of any size.
   */
  progressTimeoutMs?: number;
  /** Called with the number of bytes of each part of the response's body. */
  onProgress?: (byteCount: number) => void;
  /**
   * Whether `timeoutMs` begins when the request has got a connection, which may be a new
   * one that is being opened, instead of at once. False by default.
   */
  waitsForConnection?: boolean;
  /** Largest body of the response, in bytes; without it any size is read. */
  maxResponseBytes?: number;
}

/**
 * Sends HTTP requests over keep-alive connections. A request that times out
 * closes its connection, because later requests on an unresponsive connection
 * would fail too.
 */
export class HttpClient {
  readonly #agent: http.Agent;

  constructor(options: HttpClientOptions = {}) {
    this.#agent = new http.Agent({
      keepAlive: true,
      maxSockets: options.maxConnections ?? 8,
      scheduling: "lifo",
    });
  }

  /**
   * Sends a request and reads the response. An error of kind
   * `upstream_unreachable` means that nothing listens at the address; after
   * `timeout` and `upstream_reset` the request may have been carried out. The
   * kinds are named after upstreams, but apply to every server that is called.
   * @param address - `host:port`, where the host is an IP address.
   */
  sendRequest(
    address: string,
    options: SendRequestOptions,
  ): Promise<Result<HttpClientResponse, DispatchError>> {
    const [host, port] = address.split(":");
    const { method, path, body, timeoutMs, progressTimeoutMs } = options;
    const { maxResponseBytes = Infinity } = options;
    return new Promise((resolve) => {
      let timeout: string | undefined;
      let receivedBytes = 0;
      const fail = (error: NodeJS.ErrnoException) => {
        clearTimeout(timer);
        resolve(err(createCallError(error, timeout, address)));
      };
      const request = http.request({
        agent: this.#agent,
        host,
        port,
        method,
        path,
        headers: {
          ...options.headers,
          "content-length": body === undefined ? 0 : Buffer.byteLength(body),
        },
      }, (response) => {
        const chunks: Buffer[] = [];
        response.on("data", (chunk: Buffer) => {
          receivedBytes += chunk.length;
          if (receivedBytes > maxResponseBytes) {
            request.destroy(
              new Error(`the answer has more than ${maxResponseBytes} bytes`),
            );
            return;
          }
          chunks.push(chunk);
          options.onProgress?.(chunk.length);
          if (progressTimeoutMs !== undefined) {
            clearTimeout(timer);
            timer = setTimeout(handleTimeout, progressTimeoutMs);
          }
        });
        response.on("error", fail);
        response.on("end", () => {
          clearTimeout(timer);
          resolve(ok({
            status: response.statusCode ?? 0,
            body: Buffer.concat(chunks),
          }));
        });
      });
      const handleTimeout = () => {
        timeout = `no answer in time, ${receivedBytes} bytes were received`;
        request.destroy();
      };
      let timer: NodeJS.Timeout | undefined;
      const startTimer = () => {
        timer = setTimeout(handleTimeout, timeoutMs);
      };
      if (options.waitsForConnection === true) {
        request.once("socket", startTimer);
      } else {
        startTimer();
      }
      request.on("error", fail);
      request.end(body);
    });
  }

  /** Closes the connections. */
  close(): void {
    this.#agent.destroy();
  }
}

function createCallError(
  error: NodeJS.ErrnoException,
  timeout: string | undefined,
  address: string,
): DispatchError {
  const message = `${address}: ${error.code ?? error.message}`;
  if (timeout !== undefined) {
    return createError("timeout", `${address}: ${timeout}`);
  }
  return error.code === "ECONNREFUSED"
    ? createError("upstream_unreachable", message)
    : createError("upstream_reset", message);
}
