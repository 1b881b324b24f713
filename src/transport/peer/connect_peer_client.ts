import { create } from "@bufbuild/protobuf";
import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { err, ok, type Result } from "neverthrow";
import type { PeerClient, PeerStream } from "../../coordination/ports/mod.ts";
import type {
  GatherReply,
  GatherRequest,
} from "../../coordination/messages/mod.ts";
import {
  type Frame,
  GatherRequestSchema,
  Peer,
} from "../../protocol/gen/peer_pb.ts";
import { createError, type DispatchError } from "../../state/errors/mod.ts";
import { FrameStream } from "./frame_stream.ts";

/**
 * Timeout of a gather call, in milliseconds. By these calls a new home of keys
 * collects their claims from other members.
 */
const GATHER_TIMEOUT_MS = 2_000;

/**
 * Idle time after which the connection of a gather call is closed, in
 * milliseconds. A home may call thousands of members, and their connections
 * should not accumulate.
 */
const IDLE_TIMEOUT_MS = 1_000;

/** Connects to other processes over HTTP/2 with the Connect protocol. */
export class ConnectPeerClient implements PeerClient {
  open(address: string): PeerStream {
    const abort = new AbortController();
    // The client sends the frames of the stream, which in turn reads those that
    // the client receives. `receive` runs only after the stream exists.
    const stream: FrameStream = new FrameStream(receive(), {
      // An immediate abort could lose the last frames. The server ends its side
      // of the stream after it has received them.
      onClose: () => setTimeout(() => abort.abort(), 1_000).unref(),
    });
    return stream;

    async function* receive(): AsyncGenerator<Frame> {
      // Throws for an invalid address, like the call for an unreachable one.
      const client = createPeerClient(address);
      yield* client.connect(stream.outgoingFrames, { signal: abort.signal });
    }
  }

  async gather(
    address: string,
    request: GatherRequest,
  ): Promise<Result<GatherReply, DispatchError>> {
    try {
      const message = create(GatherRequestSchema, request);
      const client = createPeerClient(address, IDLE_TIMEOUT_MS);
      const reply = await client.gather(message, {
        timeoutMs: GATHER_TIMEOUT_MS,
      });
      return ok(reply);
    } catch (error) {
      return err(
        createError(
          "internal",
          `gather at ${address}: ${(error as Error).message}`,
        ),
      );
    }
  }
}

function createPeerClient(address: string, idleConnectionTimeoutMs?: number) {
  const transport = createConnectTransport({
    httpVersion: "2",
    baseUrl: `http://${address}`,
    ...(idleConnectionTimeoutMs === undefined
      ? {}
      : { idleConnectionTimeoutMs }),
  });
  return createClient(Peer, transport);
}
