/**
 * Why a server refused a request or closed a connection. `body_size`, `memory` and
 * `requests_ahead` are answered, the others only close the connection. Nothing of the
 * request concerned has run, except for `unread_response`.
 */
export type RefusalCause =
  | "body_size"
  | "header_size"
  | "memory"
  | "connections"
  | "requests_ahead"
  | "header_time"
  | "body_time"
  | "unread_response";
