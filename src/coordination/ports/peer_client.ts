import type { Result } from "neverthrow";
import type { DispatchError } from "../../state/errors/mod.ts";
import type { GatherReply, GatherRequest } from "../messages/mod.ts";
import type { PeerConnector } from "./peer_connector.ts";

/** Calls other processes at their peer address. */
export interface PeerClient extends PeerConnector {
  /** Requests the claims and task starts that a member knows. */
  gather(
    address: string,
    request: GatherRequest,
  ): Promise<Result<GatherReply, DispatchError>>;
}
