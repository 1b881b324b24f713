import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { createError } from "../../state/errors/mod.ts";
import { createErrorResponse } from "./create_error_response.ts";
import type { HttpResponse } from "./http_response.ts";
import type { HttpRequest } from "./http_request.ts";

/**
 * Largest body of a request, in bytes: a job of 150 tasks of the largest size
 * allowed by default.
 */
const MAX_BODY_BYTES = 33_554_432;

/**
 * Time for a client to read the refusal of a body that is too large, in
 * milliseconds.
 */
const REFUSED_BODY_MS = 2_000;

export interface HttpServerOptions {
  host: string;
  /** 0 takes a free port. */
  port: number;
  handle: (request: HttpRequest) => Promise<HttpResponse> | HttpResponse;
  maxBodyBytes?: number;
}

/** An HTTP server that reads whole requests and writes whole answers. */
export class HttpServer {
  readonly #options: HttpServerOptions;
  readonly #server: http.Server;
  #isClosing = false;

  constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#server = http.createServer((request, response) => {
      void this.#serve(request, response);
    });
    // Behind a balancer that keeps connections, a shorter time than the
    // balancer's would cut off requests.
    this.#server.keepAliveTimeout = 75_000;
  }

  /** Starts to listen, and gets the port. */
  async start(): Promise<number> {
    const { host, port } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Closes each connection with its next answer; goes on to listen. */
  disableKeepAlive(): void {
    this.#isClosing = true;
  }

  /** Stops to listen; open requests are still served. */
  stopListening(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  /** Stops to listen, and waits until the open requests are answered. */
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
      : await this.#options.handle(parsed);
  }

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    let answer: HttpResponse;
    try {
      const body = await readBody(
        request,
        this.#options.maxBodyBytes ?? MAX_BODY_BYTES,
      );
      answer = body === undefined
        ? refuseBody(request)
        : await this.#handle(request, response, body);
    } catch (error) {
      answer = createErrorResponse(
        createError("internal", (error as Error).message),
      );
    }
    response.writeHead(answer.status, {
      "content-type": answer.contentType,
      "content-length": answer.body.length,
      ...answer.headers,
      // A stopping server closes its kept connections with their next answer.
      ...(this.#isClosing || !this.#server.listening
        ? { connection: "close" }
        : {}),
    });
    response.end(answer.body);
  }
}

/** Reads the body; undefined as soon as it is known to be too large. */
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

/**
 * Refuses a body that is too large. The rest is read and dropped for a limited
 * time.
 */
function refuseBody(request: http.IncomingMessage): HttpResponse {
  request.resume();
  const timer = setTimeout(() => {
    if (!request.complete) {
      request.socket.destroy();
    }
  }, REFUSED_BODY_MS);
  timer.unref();
  return createErrorResponse(
    createError("body_too_large", "the request body is too large"),
  );
}

/**
 * Creates the request for the handler; undefined when its path isn't validly
 * encoded.
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
  response.on("close", () => {
    if (!response.writableFinished) {
      abort.abort();
    }
  });
  return {
    method: request.method ?? "GET",
    ...target,
    headers: request.headers,
    body,
    signal: abort.signal,
  };
}

function parseTarget(
  target: string,
): Pick<HttpRequest, "rawPath" | "pathSegments" | "query"> | undefined {
  try {
    const url = new URL(target, "http://localhost");
    const segments = url.pathname.split("/").filter((part) => part !== "");
    return {
      rawPath: target.split("?", 1)[0] as string,
      pathSegments: segments.map(decodeURIComponent),
      query: url.searchParams,
    };
  } catch {
    return undefined;
  }
}
