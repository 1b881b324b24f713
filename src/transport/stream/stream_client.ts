import { connect, Socket } from "node:net";
import type { BatchFrame } from "../../coordination/messages/mod.ts";
import type { PeerStream } from "../../coordination/ports/mod.ts";
import { MemoryBudget } from "../memory_budget.ts";
import { FrameSocket } from "./frame_socket.ts";
import { INCOMPLETE_FRAME_BYTES } from "./incomplete_frame_bytes.ts";

/** Opens TCP connections that carry streams of frames to agents. */
export class StreamClient {
  readonly #budget = new MemoryBudget(INCOMPLETE_FRAME_BYTES);

  /** @param address - `host:port`, where the host is an IP address. */
  open(address: string): PeerStream<BatchFrame> {
    const [host, port] = address.split(":") as [string, string];
    try {
      return new FrameSocket(connect(Number(port), host), this.#budget);
    } catch (error) {
      // The stream to an invalid address fails like one to an unreachable one.
      const socket = new Socket();
      const stream = new FrameSocket(socket);
      socket.destroy(error as Error);
      return stream;
    }
  }
}
