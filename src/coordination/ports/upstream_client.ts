import type { Result } from "neverthrow";
import type { DispatchError } from "../../state/errors/mod.ts";
import type { UpstreamAnswer } from "./upstream_answer.ts";
import type { UpstreamRequest } from "./upstream_request.ts";

/** Calls the upstream that belongs to an agent. */
export interface UpstreamClient {
  /**
   * Sends a request. After an error of kind `upstream_unreachable` or an error
   * returned by `checkStart`, no byte of the request was written. After any
   * other error, it is unknown whether the upstream ran the request.
   */
  call(
    request: UpstreamRequest,
  ): Promise<Result<UpstreamAnswer, DispatchError>>;
}
