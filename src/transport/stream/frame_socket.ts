import { fromBinary, toBinary } from "@bufbuild/protobuf";
import type { Socket } from "node:net";
import type { PeerStream } from "../../coordination/ports/mod.ts";
import type { PeerMessage } from "../../coordination/messages/mod.ts";
import { FrameSchema } from "../../protocol/gen/peer_pb.ts";
import { createFrame, readFrame } from "../../protocol/peer/mod.ts";
import { MessageQueue } from "../message_queue.ts";

/** Bytes of the length before a frame. */
const LENGTH_BYTES = 4;

/** Longest frame that is read, in bytes; a task's description is far shorter. */
const MAX_FRAME_BYTES = 16_777_216;

/**
 * A peer that leaves this many bytes unread is given up, so that memory stays
 * bounded: some seconds of frames.
 */
const MAX_UNSENT_BYTES = 1_048_576;

/** Time for the last frames to leave when a stream is closed, in milliseconds. */
const CLOSE_MS = 500;

/** Probes find a peer without power after some seconds. */
const KEEP_ALIVE_MS = 1_000;

/**
 * Frames on a plain TCP connection, each after its length. Frames that are sent
 * in one turn leave in one write.
 */
export class FrameSocket implements PeerStream {
  readonly received: AsyncIterable<PeerMessage>;
  readonly #socket: Socket;
  readonly #queue = new MessageQueue<PeerMessage>();
  #unsent: Uint8Array[] = [];
  #unread: Buffer = Buffer.alloc(0);
  #isClosed = false;
  #error: Error | undefined;

  constructor(socket: Socket) {
    this.#socket = socket;
    this.received = this.#receive();
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_MS);
    socket.on("data", (bytes: Buffer) => this.#read(bytes));
    socket.on("error", (error) => this.#error ??= error);
    socket.on("close", () => {
      this.#isClosed = true;
      this.#queue.close();
    });
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  send(message: PeerMessage): void {
    if (this.#isClosed) {
      return;
    }
    if (this.#unsent.length === 0) {
      queueMicrotask(() => this.#write());
    }
    const frame = toBinary(FrameSchema, createFrame(message));
    const head = Buffer.allocUnsafe(LENGTH_BYTES);
    head.writeUInt32BE(frame.length);
    this.#unsent.push(head, frame);
  }

  /** Closes the stream once the frames sent before have left. */
  close(): void {
    if (!this.#isClosed) {
      this.#write();
      this.#isClosed = true;
      this.#socket.end();
      setTimeout(() => this.#socket.destroy(), CLOSE_MS).unref();
    }
  }

  #write(): void {
    if (this.#unsent.length === 0 || this.#isClosed) {
      return;
    }
    this.#socket.write(Buffer.concat(this.#unsent));
    this.#unsent = [];
    if (this.#socket.writableLength > MAX_UNSENT_BYTES) {
      this.#socket.destroy(new Error("the peer does not read"));
    }
  }

  /** Takes whole frames out of the bytes that have arrived. */
  #read(bytes: Buffer): void {
    let rest = this.#unread.length === 0
      ? bytes
      : Buffer.concat([this.#unread, bytes]);
    while (rest.length >= LENGTH_BYTES) {
      const length = rest.readUInt32BE();
      if (length > MAX_FRAME_BYTES) {
        this.#socket.destroy(new Error(`a frame of ${length} bytes`));
        return;
      }
      if (rest.length < LENGTH_BYTES + length) {
        break;
      }
      this.#add(rest.subarray(LENGTH_BYTES, LENGTH_BYTES + length));
      rest = rest.subarray(LENGTH_BYTES + length);
    }
    this.#unread = rest;
  }

  #add(frame: Buffer): void {
    try {
      const message = readFrame(fromBinary(FrameSchema, frame));
      if (message !== undefined) {
        this.#queue.add(message);
      }
    } catch (error) {
      this.#socket.destroy(error as Error);
    }
  }

  async *#receive(): AsyncGenerator<PeerMessage> {
    yield* this.#queue;
    if (this.#error !== undefined) {
      throw this.#error;
    }
  }
}
