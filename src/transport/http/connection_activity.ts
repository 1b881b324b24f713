/** What a connection of a server does at a moment. */
export type ConnectionActivity =
  /** Between two requests, or before the first one. */
  | "idle"
  /** A request has begun, and its headers are not complete. */
  | "header"
  /** The body of a request is not complete. */
  | "body"
  /** A request is being handled. */
  | "handling"
  /** All responses are ready, and the client has not read them. */
  | "unread";
