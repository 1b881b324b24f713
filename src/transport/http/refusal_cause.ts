/**
 * Why a server refused a request or closed a connection. Requests of `body_size` and
 * `header_size` are answered. The others only close the connection, without a statement
 * that the request never runs: it may be the repetition of one that runs. Nothing of the
 * request itself has run, except for `unread_response`. `frame_time` is a cause of servers of streams.
 */
export type RefusalCause =
  | "body_size"
  | "header_size"
  | "memory"
  | "connections"
  | "requests_ahead"
  | "frame_time"
  | "header_time"
  | "body_time"
  | "unread_response";
