import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { createError } from "../../state/errors/mod.ts";
import { createErrorResponse } from "./create_error_response.ts";
import type { HttpResponse } from "./http_response.ts";
import type { HttpRequest } from "./http_request.ts";
import type { HttpRequestHead } from "./http_request_head.ts";

/**
 * Default limit for the body of a request, in bytes. It fits a job of 150 tasks
 * of the largest size that is allowed by default.
 */
const MAX_BODY_BYTES = 33_554_432;

/**
 * Time that a client with a too large body has to read the refusal before its
 * connection is destroyed, in milliseconds.
 */
const REFUSED_BODY_TIMEOUT_MS = 2_000;

export interface HttpServerOptions {
  host: string;
  /** Port to listen on; 0 selects a free port. */
  port: number;
  handleRequest: (request: HttpRequest) => Promise<HttpResponse> | HttpResponse;
  maxBodyBytes?: number;
  /**
   * Called before the body of a request is read. A response that it returns refuses the
   * request.
   */
  checkHead?: (head: HttpRequestHead) => HttpResponse | undefined;
}

/** An HTTP server that buffers complete request and response bodies. */
export class HttpServer {
  readonly #options: HttpServerOptions;
  readonly #server: http.Server;
  #isKeepAliveDisabled = false;

  constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#server = http.createServer((request, response) => {
      void this.#serve(request, response);
    });
    // This must exceed the idle timeout of a load balancer that keeps
    // connections: a connection that the server closes first can lose requests.
    this.#server.keepAliveTimeout = 75_000;
  }

  /** Starts listening, and returns the port. */
  async start(): Promise<number> {
    const { host, port } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Closes each connection after its next response, but keeps listening. */
  disableKeepAlive(): void {
    this.#isKeepAliveDisabled = true;
  }

  /** Stops listening; open requests are still served. */
  stopListening(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Stops listening, and waits until the open requests are answered. */
  async stop(): Promise<void> {
    await new Promise<void>((resolve) => {
      this.#server.close(() => resolve());
      this.#server.closeIdleConnections();
    });
  }

  async #handle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
    body: Buffer,
  ): Promise<HttpResponse> {
    const parsed = createRequest(request, response, body);
    return parsed === undefined
      ? createErrorResponse(
        createError("invalid_request", "the path is not validly encoded", {
          path: "path",
        }),
      )
      : await this.#options.handleRequest(parsed);
  }

  /** Returns a response that refuses the request before its body is read. */
  #checkHead(request: http.IncomingMessage): HttpResponse | undefined {
    const { checkHead } = this.#options;
    const refusal = checkHead?.({
      method: request.method ?? "GET",
      rawPath: getRawPath(request.url ?? "/"),
      headers: request.headers,
      remoteAddress: request.socket.remoteAddress ?? "",
    });
    if (refusal !== undefined) {
      discardBody(request);
    }
    return refusal;
  }

  async #readAndHandle(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<HttpResponse> {
    const body = await readBody(
      request,
      this.#options.maxBodyBytes ?? MAX_BODY_BYTES,
    );
    return body === undefined
      ? refuseBody(request)
      : await this.#handle(request, response, body);
  }

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    let handlerResponse: HttpResponse;
    try {
      handlerResponse = this.#checkHead(request) ??
        await this.#readAndHandle(request, response);
    } catch (error) {
      handlerResponse = createErrorResponse(
        createError("internal", (error as Error).message),
      );
    }
    response.writeHead(handlerResponse.status, {
      "content-type": handlerResponse.contentType,
      "content-length": handlerResponse.body.length,
      ...handlerResponse.headers,
      // A stopping server closes keep-alive connections after their next
      // response.
      ...(this.#isKeepAliveDisabled || !this.#server.listening
        ? { connection: "close" }
        : {}),
    });
    response.end(handlerResponse.body);
  }
}

/** Reads the body. Returns undefined as soon as it is found to be too large. */
async function readBody(
  request: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  if (Number(request.headers["content-length"] ?? 0) > maxBytes) {
    return undefined;
  }
  const chunks: Buffer[] = [];
  let size = 0;
  // Destroying the request would close the connection before the client has
  // read the refusal.
  for await (const chunk of request.iterator({ destroyOnReturn: false })) {
    size += chunk.length;
    if (size > maxBytes) {
      return undefined;
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
}

function refuseBody(request: http.IncomingMessage): HttpResponse {
  discardBody(request);
  return createErrorResponse(
    createError("body_too_large", "the request body is too large"),
  );
}

/**
 * Reads and discards the rest of a body for a limited time, so that the client can read
 * the refusal.
 */
function discardBody(request: http.IncomingMessage): void {
  request.resume();
  const timer = setTimeout(() => {
    if (!request.complete) {
      request.socket.destroy();
    }
  }, REFUSED_BODY_TIMEOUT_MS);
  timer.unref();
}

/**
 * Creates the request for the handler. Returns undefined if the path isn't
 * validly encoded.
 */
function createRequest(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  body: Buffer,
): HttpRequest | undefined {
  const target = parseTarget(request.url ?? "/");
  if (target === undefined) {
    return undefined;
  }
  const abort = new AbortController();
  abortOnDisconnect(abort, request, response);
  return {
    method: request.method ?? "GET",
    ...target,
    headers: request.headers,
    remoteAddress: request.socket.remoteAddress ?? "",
    body,
    signal: abort.signal,
  };
}

/**
 * Aborts when the connection ends before the response is complete. A response
 * emits no event for that while it waits for one to an earlier request on the
 * same connection, so the connection itself is observed.
 */
function abortOnDisconnect(
  abort: AbortController,
  { socket }: http.IncomingMessage,
  response: http.ServerResponse,
): void {
  if (socket.destroyed) {
    abort.abort();
    return;
  }
  const handleClose = () => abort.abort();
  socket.once("close", handleClose);
  response.once("finish", () => socket.off("close", handleClose));
}

/** Gets the path of a request's target, without its query. */
function getRawPath(target: string): string {
  const queryStart = target.indexOf("?");
  return queryStart < 0 ? target : target.slice(0, queryStart);
}

function parseTarget(
  target: string,
): Pick<HttpRequest, "rawPath" | "pathSegments" | "query"> | undefined {
  try {
    const url = new URL(target, "http://localhost");
    const segments = url.pathname.split("/").filter((part) => part !== "");
    return {
      rawPath: getRawPath(target),
      pathSegments: segments.map(decodeURIComponent),
      query: url.searchParams,
    };
  } catch {
    return undefined;
  }
}
