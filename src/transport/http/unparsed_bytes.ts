import type { Socket } from "node:net";
import { BlockBuffer } from "../block_buffer.ts";
import type { BlockPool } from "../block_pool.ts";
import type { ParseQueue } from "./parse_queue.ts";
import type { ParseSource } from "./parse_source.ts";
import type { ServerConnection } from "./server_connection.ts";

const NO_BYTES = Buffer.alloc(0);

/** Bytes that are parsed at once; most requests are shorter. */
const SLICE_BYTES = 2_048;

/** Chunks of a body after which its connection waits behind others. */
const CHEAP_CHUNKS = 512;

export interface UnparsedBytesOptions {
  socket: Socket;
  connection: ServerConnection;
  queue: ParseQueue;
  /** Blocks for bytes that wait. */
  pool: BlockPool;
  /** Lets the HTTP server parse bytes. */
  parse: (bytes: Buffer) => void;
  /** Called after bytes were parsed. */
  onParsed: () => void;
}

/**
 * What a connection has received and the HTTP server hasn't parsed. It is parsed in small
 * parts, and not at all once the connection serves no more requests: a client that sends
 * thousands of requests ahead would make the server create the objects of all of them.
 */
export class UnparsedBytes implements ParseSource {
  readonly #options: UnparsedBytesOptions;
  /** What waits from earlier reads. */
  readonly #waiting: BlockBuffer;
  /** The rest of what is being read, which comes after `#waiting`. */
  #received: Buffer = NO_BYTES;

  constructor(options: UnparsedBytesOptions) {
    this.#options = options;
    const { socket, queue, pool } = options;
    this.#waiting = new BlockBuffer(pool);
    // The server pauses the socket while the client doesn't read its responses.
    socket.on("resume", () => this.#processWaiting());
    socket.once("close", () => {
      this.#clear();
      queue.remove(this);
    });
  }

  get canParse(): boolean {
    return this.#length > 0 && !this.#options.socket.isPaused();
  }

  get isCostly(): boolean {
    return this.#options.connection.bodyChunkCount > CHEAP_CHUNKS;
  }

  get #length(): number {
    return this.#waiting.length + this.#received.length;
  }

  /**
   * Parses received bytes, or keeps a copy of them until the queue lets them be parsed.
   * @returns Whether more should be read before that.
   */
  receive(bytes: Buffer): boolean {
    const { queue, connection } = this.#options;
    this.#received = bytes;
    queue.process(this);
    if (this.#received.length > 0) {
      this.#waiting.append(this.#received);
      this.#received = NO_BYTES;
      connection.setUnparsedBytes(this.#waiting.capacity);
    }
    return this.#length === 0;
  }

  parseNext(): number {
    const { socket, connection, parse, onParsed } = this.#options;
    if (socket.destroyed || connection.isClosing) {
      this.#clear();
      // What is read further would only be discarded.
      socket.pause();
      return 1;
    }
    const { chunkCount } = connection;
    const slice = this.#waiting.length > 0
      ? this.#waiting.getFirst(SLICE_BYTES)
      : this.#received.subarray(0, SLICE_BYTES);
    connection.parsedBytes += slice.length;
    parse(slice);
    this.#removeFirst(slice.length);
    if (!this.canParse) {
      onParsed();
    }
    return 1 + connection.chunkCount - chunkCount;
  }

  #processWaiting(): void {
    if (this.canParse) {
      this.#options.queue.process(this);
    }
  }

  #removeFirst(bytes: number): void {
    if (this.#waiting.length === 0) {
      this.#received = this.#received.subarray(bytes);
      return;
    }
    this.#waiting.removeFirst(bytes);
    const { connection, socket } = this.#options;
    if (this.#waiting.length === 0 && connection.unparsedBytes > 0) {
      connection.setUnparsedBytes(0);
      if (!socket.isPaused()) {
        // Reads on.
        socket.resume();
      }
    }
  }

  #clear(): void {
    this.#waiting.clear();
    this.#received = NO_BYTES;
    this.#options.connection.setUnparsedBytes(0);
  }
}
