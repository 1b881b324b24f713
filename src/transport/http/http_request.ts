import type { IncomingHttpHeaders } from "node:http";

/** A received HTTP request with its complete body. */
export interface HttpRequest {
  readonly method: string;
  /** The path as it was sent, without its query. */
  readonly rawPath: string;
  /** Segments of the path, decoded. */
  readonly pathSegments: readonly string[];
  readonly query: URLSearchParams;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** Aborts if the client closes its connection before the response is sent. */
  readonly signal: AbortSignal;
}
