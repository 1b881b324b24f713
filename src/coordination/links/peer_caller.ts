import type { Result } from "neverthrow";
import type { DispatchError } from "../../state/errors/mod.ts";
import type { GatherReply, GatherRequest } from "../messages/mod.ts";
import type { PeerOpener } from "./peer_opener.ts";

/** Reaches other processes by their peer address. */
export interface PeerCaller extends PeerOpener {
  /** Asks a member for the claims and starts that it knows. */
  gather(
    address: string,
    request: GatherRequest,
  ): Promise<Result<GatherReply, DispatchError>>;
}
