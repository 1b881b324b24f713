/**
 * Why a server refused a request or closed a connection. Requests of `body_size` and
 * `header_size` are answered. The others only close the connection, without a statement
 * that the request never runs: it may be the repetition of one that runs. Nothing of the
 * request itself has run, except for `unread_response`.
 */
export type RefusalCause =
  | "body_size"
  | "body_chunks"
  | "header_size"
  | "memory"
  | "connections"
  | "requests_ahead"
  | "header_time"
  | "body_time"
  | "unread_response";
