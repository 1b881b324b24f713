import type { PeerStream } from "./peer_stream.ts";

/** Opens streams to other processes by their peer address. */
export interface PeerConnector {
  /**
   * Opens a stream. Messages that can't be delivered end the stream's
   * `received` with an error.
   */
  open(address: string): PeerStream;
}
