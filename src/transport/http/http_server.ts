import * as http from "node:http";
import type { AddressInfo } from "node:net";
import { createError } from "../../state/errors/mod.ts";
import { createErrorAnswer } from "./create_error_answer.ts";
import type { HttpAnswer } from "./http_answer.ts";
import type { HttpRequest } from "./http_request.ts";

/** Largest body of a request, in bytes: a job of 150 tasks of the largest size allowed by default. */
const MAX_BODY_BYTES = 33_554_432;

export interface HttpServerOptions {
  host: string;
  /** 0 takes a free port. */
  port: number;
  handle: (request: HttpRequest) => Promise<HttpAnswer> | HttpAnswer;
  maxBodyBytes?: number;
}

/** An HTTP server that reads whole requests and writes whole answers. */
export class HttpServer {
  readonly #options: HttpServerOptions;
  readonly #server: http.Server;

  constructor(options: HttpServerOptions) {
    this.#options = options;
    this.#server = http.createServer((request, response) => {
      void this.#serve(request, response);
    });
    // Behind a balancer that keeps connections, a shorter time than the balancer's would cut off requests.
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

  async #serve(
    request: http.IncomingMessage,
    response: http.ServerResponse,
  ): Promise<void> {
    let answer: HttpAnswer;
    try {
      const body = await readBody(
        request,
        this.#options.maxBodyBytes ?? MAX_BODY_BYTES,
      );
      answer = body === undefined
        ? createErrorAnswer(
          createError("body_too_large", "the request body is too large"),
        )
        : await this.#options.handle(createRequest(request, response, body));
    } catch (error) {
      answer = createErrorAnswer(
        createError("internal", (error as Error).message),
      );
    }
    response.writeHead(answer.status, {
      "content-type": answer.contentType,
      "content-length": answer.body.length,
      ...answer.headers,
      // A stopping server closes its kept connections with their next answer.
      ...(this.#server.listening ? {} : { connection: "close" }),
    });
    response.end(answer.body);
  }
}

async function readBody(
  request: http.IncomingMessage,
  maxBytes: number,
): Promise<Buffer | undefined> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request) {
    size += chunk.length;
    if (size <= maxBytes) {
      chunks.push(chunk);
    }
  }
  return size > maxBytes ? undefined : Buffer.concat(chunks);
}

function createRequest(
  request: http.IncomingMessage,
  response: http.ServerResponse,
  body: Buffer,
): HttpRequest {
  const abort = new AbortController();
  response.on("close", () => {
    if (!response.writableFinished) {
      abort.abort();
    }
  });
  const url = new URL(request.url ?? "/", "http://localhost");
  return {
    method: request.method ?? "GET",
    path: url.pathname.split("/").filter((segment) => segment !== "").map(
      decodeURIComponent,
    ),
    query: url.searchParams,
    headers: request.headers,
    body,
    signal: abort.signal,
  };
}
