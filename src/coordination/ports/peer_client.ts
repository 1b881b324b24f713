import type { Result } from "neverthrow";
import type { DispatchError } from "../../state/errors/mod.ts";
import type { GatherReply, GatherRequest } from "../messages/mod.ts";
import type { PeerConnector } from "./peer_connector.ts";

/** Reaches other processes by their peer address. */
export interface PeerClient extends PeerConnector {
  /** Asks a member for the claims and starts that it knows. */
  gather(
    address: string,
    request: GatherRequest,
  ): Promise<Result<GatherReply, DispatchError>>;
}
