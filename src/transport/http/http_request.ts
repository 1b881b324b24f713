import type { IncomingHttpHeaders } from "node:http";

/** A received HTTP request with its whole body. */
export interface HttpRequest {
  readonly method: string;
  /** The path as it was sent, without its query. */
  readonly rawPath: string;
  /** Segments of the path, decoded. */
  readonly pathSegments: readonly string[];
  readonly query: URLSearchParams;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** Aborts when the client closes its connection before the answer. */
  readonly signal: AbortSignal;
}
