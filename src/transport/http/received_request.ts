import type { IncomingHttpHeaders, IncomingMessage } from "node:http";
import { ClientSignal } from "./client_signal.ts";
import type { HttpRequest } from "./http_request.ts";

/** Paths that need no decoding: segments of unreserved characters. */
const PLAIN_PATH = /^(?:\/[A-Za-z0-9_~-][A-Za-z0-9._~-]*)*\/?$/;

/**
 * A request of a client. What only some handlers need, such as the query, is created when
 * it is first used.
 */
export class ReceivedRequest implements HttpRequest {
  readonly method: string;
  readonly rawPath: string;
  readonly headers: IncomingHttpHeaders;
  body: Buffer = Buffer.alloc(0);
  readonly #message: IncomingMessage;
  readonly #target: string;
  #pathSegments: readonly string[] | undefined;
  readonly signal = new ClientSignal();

  constructor(message: IncomingMessage) {
    this.#message = message;
    this.#target = message.url ?? "/";
    this.method = message.method ?? "GET";
    const queryStart = this.#target.indexOf("?");
    this.rawPath = queryStart < 0
      ? this.#target
      : this.#target.slice(0, queryStart);
    this.headers = message.headers;
  }

  get remoteAddress(): string {
    return this.#message.socket.remoteAddress ?? "";
  }

  get pathSegments(): readonly string[] {
    this.#pathSegments ??= this.#parseSegments();
    return this.#pathSegments;
  }

  get query(): URLSearchParams {
    return this.#parseTarget().searchParams;
  }

  /** Whether the path is validly encoded. */
  hasValidPath(): boolean {
    if (PLAIN_PATH.test(this.rawPath)) {
      return true;
    }
    try {
      return this.pathSegments.length >= 0;
    } catch {
      return false;
    }
  }

  /** Notifies the handler that the client has gone. */
  abort(): void {
    this.signal.abort();
  }

  #parseSegments(): readonly string[] {
    // A plain path is split without the cost of parsing a URL.
    if (PLAIN_PATH.test(this.rawPath)) {
      return this.rawPath.split("/").filter((part) => part !== "");
    }
    return this.#parseTarget().pathname.split("/")
      .filter((part) => part !== "").map(decodeURIComponent);
  }

  #parseTarget(): URL {
    return new URL(this.#target, "http://localhost");
  }
}
