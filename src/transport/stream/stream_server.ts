import { type AddressInfo, createServer, type Server } from "node:net";
import type { BatchFrame } from "../../coordination/messages/mod.ts";
import type { PeerStream } from "../../coordination/ports/mod.ts";
import { MemoryBudget } from "../memory_budget.ts";
import { FrameSocket } from "./frame_socket.ts";
import { INCOMPLETE_FRAME_BYTES } from "./incomplete_frame_bytes.ts";

/** Default of `maxStreams`; a process has one stream to each peer. */
const MAX_STREAMS = 4_096;

export interface StreamServerOptions {
  host: string;
  /** Port to listen on; 0 selects a free port. */
  port: number;
  /** Serves a stream until it ends. */
  serveStream: (stream: PeerStream<BatchFrame>) => Promise<void>;
  /** Largest number of open streams; further connections are closed at once. */
  maxStreams?: number;
  /** Memory for incomplete frames of all streams, in bytes. */
  incompleteFrameBytes?: number;
  /** Called for each connection that is closed because of `maxStreams`. */
  onRefusal?: (remoteAddress: string) => void;
}

/** Accepts TCP connections that carry streams of frames. */
export class StreamServer {
  readonly #options: StreamServerOptions;
  readonly #server: Server;
  readonly #streams = new Set<FrameSocket>();

  constructor(options: StreamServerOptions) {
    this.#options = options;
    const {
      maxStreams = MAX_STREAMS,
      incompleteFrameBytes = INCOMPLETE_FRAME_BYTES,
    } = options;
    const budget = new MemoryBudget(incompleteFrameBytes);
    this.#server = createServer((socket) => {
      if (this.#streams.size >= maxStreams) {
        options.onRefusal?.(socket.remoteAddress ?? "");
        socket.destroy();
        return;
      }
      const stream = new FrameSocket(socket, budget);
      this.#streams.add(stream);
      void options.serveStream(stream).finally(() => {
        this.#streams.delete(stream);
        stream.close();
      });
    });
  }

  /** Starts listening, and returns the port. */
  async start(): Promise<number> {
    const { host, port } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops listening, and closes the streams. */
  stop(): void {
    this.#server.close();
    for (const stream of this.#streams) {
      stream.close();
    }
  }
}
