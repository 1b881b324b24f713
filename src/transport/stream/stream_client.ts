import { connect } from "node:net";
import type { PeerStream } from "../../coordination/ports/mod.ts";
import { FrameSocket } from "./frame_socket.ts";

/** Opens streams of frames to agents over plain TCP. */
export class StreamClient {
  /** @param address - IP address and port. */
  open(address: string): PeerStream {
    const [host, port] = address.split(":") as [string, string];
    return new FrameSocket(connect(Number(port), host));
  }
}
