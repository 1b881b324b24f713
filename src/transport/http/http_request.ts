import type { ClientSignal } from "./client_signal.ts";
import type { HttpRequestHead } from "./http_request_head.ts";

/** A received HTTP request with its complete body. */
export interface HttpRequest extends HttpRequestHead {
  /** Segments of the path, decoded. */
  readonly pathSegments: readonly string[];
  readonly query: URLSearchParams;
  readonly body: Buffer;
  /** Aborts if the client closes its connection before the response is sent. */
  readonly signal: Omit<ClientSignal, "abort">;
}
