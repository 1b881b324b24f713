import { fromBinary, toBinary } from "@bufbuild/protobuf";
import type { Socket } from "node:net";
import type { PeerStream } from "../../coordination/ports/mod.ts";
import type { PeerMessage } from "../../coordination/messages/mod.ts";
import { FrameSchema } from "../../protocol/gen/peer_pb.ts";
import { createFrame, readFrame } from "../../protocol/peer/mod.ts";
import { MessageQueue } from "../message_queue.ts";

/** Size of the length prefix of a frame, in bytes. */
const LENGTH_PREFIX_BYTES = 4;

/** Largest accepted frame, in bytes. A task's description is far shorter. */
const MAX_FRAME_BYTES = 16_777_216;

/**
 * Largest number of bytes that may wait to be sent, some seconds of frames. The
 * connection to a peer that reads too slowly is destroyed, so that memory stays
 * bounded.
 */
const MAX_UNSENT_BYTES = 1_048_576;

/**
 * Time after `close` in which the last frames can be sent before the socket is
 * destroyed, in milliseconds.
 */
const CLOSE_TIMEOUT_MS = 500;

/**
 * Idle time before TCP keep-alive probes are sent, in milliseconds. The probes
 * detect a peer that has lost power after some seconds.
 */
const KEEP_ALIVE_DELAY_MS = 1_000;

/**
 * A stream of length-prefixed frames on a TCP connection. Frames that are sent
 * in the same turn of the event loop are combined in one write.
 */
export class FrameSocket implements PeerStream {
  readonly received: AsyncIterable<PeerMessage>;
  readonly #socket: Socket;
  readonly #receivedMessages = new MessageQueue<PeerMessage>();
  #unsentChunks: Uint8Array[] = [];
  #partialFrame: Buffer = Buffer.alloc(0);
  #isClosed = false;
  #error: Error | undefined;

  constructor(socket: Socket) {
    this.#socket = socket;
    this.received = this.#readMessages();
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    socket.on("data", (bytes: Buffer) => this.#handleBytes(bytes));
    socket.on("error", (error) => this.#error ??= error);
    socket.on("close", () => {
      this.#isClosed = true;
      this.#receivedMessages.close();
    });
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  send(message: PeerMessage): void {
    if (this.#isClosed) {
      return;
    }
    if (this.#unsentChunks.length === 0) {
      queueMicrotask(() => this.#writeUnsent());
    }
    const frame = toBinary(FrameSchema, createFrame(message));
    const header = Buffer.allocUnsafe(LENGTH_PREFIX_BYTES);
    header.writeUInt32BE(frame.length);
    this.#unsentChunks.push(header, frame);
  }

  /** Closes the stream after the frames that were sent before. */
  close(): void {
    if (!this.#isClosed) {
      this.#writeUnsent();
      this.#isClosed = true;
      this.#socket.end();
      setTimeout(() => this.#socket.destroy(), CLOSE_TIMEOUT_MS).unref();
    }
  }

  #writeUnsent(): void {
    if (this.#unsentChunks.length === 0 || this.#isClosed) {
      return;
    }
    this.#socket.write(Buffer.concat(this.#unsentChunks));
    this.#unsentChunks = [];
    if (this.#socket.writableLength > MAX_UNSENT_BYTES) {
      this.#socket.destroy(new Error("the peer does not read"));
    }
  }

  /** Extracts the complete frames from the received bytes. */
  #handleBytes(bytes: Buffer): void {
    let remaining = this.#partialFrame.length === 0
      ? bytes
      : Buffer.concat([this.#partialFrame, bytes]);
    while (remaining.length >= LENGTH_PREFIX_BYTES) {
      const length = remaining.readUInt32BE();
      if (length > MAX_FRAME_BYTES) {
        this.#socket.destroy(
          new Error(`received a frame of ${length} bytes, which is too large`),
        );
        return;
      }
      if (remaining.length < LENGTH_PREFIX_BYTES + length) {
        break;
      }
      this.#handleFrame(
        remaining.subarray(LENGTH_PREFIX_BYTES, LENGTH_PREFIX_BYTES + length),
      );
      remaining = remaining.subarray(LENGTH_PREFIX_BYTES + length);
    }
    this.#partialFrame = remaining;
  }

  #handleFrame(frame: Buffer): void {
    try {
      const message = readFrame(fromBinary(FrameSchema, frame));
      if (message !== undefined) {
        this.#receivedMessages.add(message);
      }
    } catch (error) {
      this.#socket.destroy(error as Error);
    }
  }

  async *#readMessages(): AsyncGenerator<PeerMessage> {
    yield* this.#receivedMessages;
    if (this.#error !== undefined) {
      throw this.#error;
    }
  }
}
