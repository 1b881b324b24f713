import { type AddressInfo, createServer, type Server } from "node:net";
import type { BatchFrame } from "../../coordination/messages/mod.ts";
import type { PeerStream } from "../../coordination/ports/mod.ts";
import { FrameSocket } from "./frame_socket.ts";

export interface StreamServerOptions {
  host: string;
  /** Port to listen on; 0 selects a free port. */
  port: number;
  /** Serves a stream until it ends. */
  serveStream: (stream: PeerStream<BatchFrame>) => Promise<void>;
}

/** Accepts TCP connections that carry streams of frames. */
export class StreamServer {
  readonly #options: StreamServerOptions;
  readonly #server: Server;
  readonly #streams = new Set<FrameSocket>();

  constructor(options: StreamServerOptions) {
    this.#options = options;
    this.#server = createServer((socket) => {
      const stream = new FrameSocket(socket);
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
