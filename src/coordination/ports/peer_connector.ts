import type { PeerMessage } from "../messages/mod.ts";
import type { PeerStream } from "./peer_stream.ts";

/** Opens streams to other processes at their peer address. */
export interface PeerConnector<T = PeerMessage> {
  /**
   * Opens a stream; never throws. If messages can't be delivered, or the address
   * is invalid, the stream's `received` iteration throws an error.
   */
  open(address: string): PeerStream<T>;
}
