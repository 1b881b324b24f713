import type { IncomingHttpHeaders } from "node:http";

/** What is known of an HTTP request before its body is read. */
export interface HttpRequestHead {
  readonly method: string;
  /** The path as it was sent, without its query. */
  readonly rawPath: string;
  readonly headers: IncomingHttpHeaders;
  /** IP address of the client, or of the proxy that forwards its connection. */
  readonly remoteAddress: string;
}
