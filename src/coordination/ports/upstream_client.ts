import type { Result } from "neverthrow";
import type { DispatchError } from "../../state/errors/mod.ts";
import type { UpstreamAnswer } from "./upstream_answer.ts";
import type { UpstreamRequest } from "./upstream_request.ts";

/** Calls the upstream beside an agent. */
export interface UpstreamClient {
  /**
   * Runs a request. `upstream_unreachable`, and an error of `checkStart`, mean
   * that no byte of the request was written; every other error leaves open
   * whether the upstream ran it.
   */
  call(
    request: UpstreamRequest,
  ): Promise<Result<UpstreamAnswer, DispatchError>>;
}
