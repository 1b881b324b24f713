import type { Result } from "neverthrow";
import type { DispatchError } from "../../state/errors/mod.ts";
import type { GatherReply, GatherRequest } from "../messages/mod.ts";
import type { PeerStream } from "./peer_stream.ts";

/** Reaches other processes by their peer address. */
export interface PeerCaller {
  /**
   * Opens a stream. Messages that can't be delivered end the stream's
   * `received` with an error.
   */
  open(address: string): PeerStream;
  /** Asks a member for the claims and starts that it knows. */
  gather(
    address: string,
    request: GatherRequest,
  ): Promise<Result<GatherReply, DispatchError>>;
}
