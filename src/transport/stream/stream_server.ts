import { type AddressInfo, createServer, type Server } from "node:net";
import type { PeerStream } from "../../coordination/ports/mod.ts";
import { FrameSocket } from "./frame_socket.ts";

export interface StreamServerOptions {
  host: string;
  /** 0 takes a free port. */
  port: number;
  /** Serves one stream until it ends. */
  serve: (stream: PeerStream) => Promise<void>;
}

/** Takes streams of frames over plain TCP. */
export class StreamServer {
  readonly #options: StreamServerOptions;
  readonly #server: Server;
  readonly #streams = new Set<FrameSocket>();

  constructor(options: StreamServerOptions) {
    this.#options = options;
    this.#server = createServer((socket) => {
      const stream = new FrameSocket(socket);
      this.#streams.add(stream);
      void options.serve(stream).finally(() => {
        this.#streams.delete(stream);
        stream.close();
      });
    });
  }

  /** Starts to listen, and gets the port. */
  async start(): Promise<number> {
    const { host, port } = this.#options;
    await new Promise<void>((resolve, reject) => {
      this.#server.once("error", reject);
      this.#server.listen(port, host, resolve);
    });
    return (this.#server.address() as AddressInfo).port;
  }

  /** Stops to listen, and closes the streams. */
  stop(): void {
    this.#server.close();
    for (const stream of this.#streams) {
      stream.close();
    }
  }
}
