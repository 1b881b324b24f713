import { create } from "@bufbuild/protobuf";
import { connectNodeAdapter } from "@connectrpc/connect-node";
import * as http2 from "node:http2";
import type { AddressInfo } from "node:net";
import type { PeerStream } from "../../coordination/ports/mod.ts";
import type {
  GatherReply,
  GatherRequest,
} from "../../coordination/messages/mod.ts";
import { GatherReplySchema, Peer } from "../../protocol/gen/peer_pb.ts";
import { FrameStream } from "./frame_stream.ts";

export interface PeerServerOptions {
  host: string;
  /** Port to listen on; 0 selects a free port. */
  port: number;
  /** Serves a stream until it ends. */
  serveStream: (stream: PeerStream) => Promise<void>;
  /**
   * Answers a gather call, by which a new home of keys collects their claims
   * from other members. Without it such calls fail as unimplemented.
   */
  handleGather?: (request: GatherRequest) => GatherReply;
}

/** Serves streams and gather calls from other processes. */
export class PeerServer {
  readonly #server: http2.Http2Server;
  readonly #options: PeerServerOptions;
  readonly #sessions = new Set<http2.ServerHttp2Session>();

  constructor(options: PeerServerOptions) {
    this.#options = options;
    const { serveStream, handleGather } = options;
    this.#server = http2.createServer(
      connectNodeAdapter({
        routes: (router) =>
          router.service(Peer, {
            async *connect(frames) {
              const stream = new FrameStream(frames);
              // `serveStream` rejects if the stream breaks. The outgoing frames
              // then end without an error.
              const served = serveStream(stream).catch(() => {}).finally(() =>
                stream.close()
              );
              yield* stream.outgoingFrames;
              await served;
            },
            ...(handleGather === undefined ? {} : {
              gather: (request) =>
                create(GatherReplySchema, handleGather(request)),
            }),
          }),
      }),
    );
    this.#server.on("session", (session) => {
      this.#sessions.add(session);
      session.on("close", () => this.#sessions.delete(session));
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

  /** Stops the server and closes its connections. */
  stop(): void {
    this.#server.close();
    for (const session of this.#sessions) {
      session.destroy();
    }
  }
}
