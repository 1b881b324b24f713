import { connect, Socket } from "node:net";
import type { BatchFrame } from "../../coordination/messages/mod.ts";
import type { PeerStream } from "../../coordination/ports/mod.ts";
import { BlockPool } from "../block_pool.ts";
import { MemoryBudget } from "../memory_budget.ts";
import { FrameSocket } from "./frame_socket.ts";
import { INCOMPLETE_FRAME_BYTES } from "./incomplete_frame_bytes.ts";

/** Size of the buffer into which streams read, in bytes. */
const READ_BUFFER_BYTES = 65_536;

/** Opens TCP connections that carry streams of frames to agents. */
export class StreamClient {
  readonly #budget: MemoryBudget;
  readonly #pool = new BlockPool();
  /** Shared by all streams: what is read into it is handled before the next read. */
  readonly #readBuffer = Buffer.allocUnsafeSlow(READ_BUFFER_BYTES);

  /** @param incompleteFrameBytes - Memory for incomplete frames of all streams, in bytes. */
  constructor(incompleteFrameBytes = INCOMPLETE_FRAME_BYTES) {
    this.#budget = new MemoryBudget(incompleteFrameBytes);
  }

  /** @param address - `host:port`, where the host is an IP address. */
  open(address: string): PeerStream<BatchFrame> {
    const [host, port] = address.split(":") as [string, string];
    try {
      const socket = connect({
        host,
        port: Number(port),
        // Reading into one buffer saves the runtime a buffer and a queue for each read.
        onread: {
          buffer: this.#readBuffer,
          callback: (length) => {
            stream.handleBytes(this.#readBuffer.subarray(0, length));
            return true;
          },
        },
      });
      const stream = new FrameSocket(socket, {
        budget: this.#budget,
        pool: this.#pool,
      });
      return stream;
    } catch (error) {
      // The stream to an invalid address fails like one to an unreachable one.
      const socket = new Socket();
      const stream = new FrameSocket(socket);
      socket.destroy(error as Error);
      return stream;
    }
  }
}
