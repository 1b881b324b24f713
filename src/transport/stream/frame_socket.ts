/**
 * Streams of batch frames over TCP connections. Each frame is one line.
 */
import type { Socket } from "node:net";
import type { PeerStream } from "../../coordination/ports/mod.ts";
import type { BatchFrame } from "../../coordination/messages/mod.ts";
import { formatBatchFrame, parseBatchFrame } from "../../protocol/batch/mod.ts";
import { BlockBuffer } from "../block_buffer.ts";
import { BlockPool } from "../block_pool.ts";
import type { MemoryBudget } from "../memory_budget.ts";
import type { MemoryHolder } from "../memory_holder.ts";
import { MessageQueue } from "../message_queue.ts";

const LINE_FEED = 0x0a;

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

export interface FrameSocketOptions {
  /** Limits the incomplete frames of several streams together. */
  budget?: MemoryBudget;
  /** Blocks for incomplete frames. */
  pool?: BlockPool;
  /** Called when the budget closes the stream. */
  onEvicted?: () => void;
}

/**
 * A stream of frames on a TCP connection. Frames that are sent in the same turn
 * of the event loop are combined in one write.
 */
export class FrameSocket implements PeerStream<BatchFrame> {
  readonly received = new MessageQueue<BatchFrame>();
  readonly #socket: Socket;
  #unsentLines = "";
  readonly #partialLine: BlockBuffer;
  #isClosed = false;
  #hasReceivedFrame = false;
  #error: Error | undefined;
  readonly #budget: MemoryBudget | undefined;
  readonly #incompleteFrame: MemoryHolder;

  constructor(socket: Socket, options: FrameSocketOptions = {}) {
    const { budget, pool = new BlockPool(), onEvicted } = options;
    this.#socket = socket;
    this.#budget = budget;
    this.#partialLine = new BlockBuffer(pool);
    this.#incompleteFrame = {
      heldBytes: 0,
      evict: () => {
        onEvicted?.();
        this.#partialLine.clear();
        socket.destroy(
          new Error("incomplete frames of all streams hold too much memory"),
        );
      },
    };
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    // A socket that was opened with `onread` emits none.
    socket.on("data", (bytes: Buffer) => this.handleBytes(bytes));
    socket.on("error", (error) => this.#error ??= error);
    socket.on("close", () => {
      this.#isClosed = true;
      this.#partialLine.clear();
      this.#budget?.releaseHolder(this.#incompleteFrame);
      this.received.close(this.#error);
    });
  }

  get isClosed(): boolean {
    return this.#isClosed;
  }

  /** Gets whether a complete frame has arrived. */
  get hasReceivedFrame(): boolean {
    return this.#hasReceivedFrame;
  }

  get remoteAddress(): string {
    return this.#socket.remoteAddress ?? "";
  }

  /** Ends the stream at once, with an error for its reader. */
  destroy(error: Error): void {
    this.#socket.destroy(error);
  }

  send(frame: BatchFrame): void {
    if (this.#isClosed) {
      return;
    }
    if (this.#unsentLines === "") {
      queueMicrotask(() => this.#writeUnsent());
    }
    this.#unsentLines += formatBatchFrame(frame) + "\n";
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
    if (this.#unsentLines === "" || this.#isClosed) {
      return;
    }
    this.#socket.write(this.#unsentLines);
    this.#unsentLines = "";
    if (this.#socket.writableLength > MAX_UNSENT_BYTES) {
      this.#socket.destroy(new Error("the peer does not read"));
    }
  }

  /**
   * Extracts the complete frames from received bytes.
   * @param bytes - Received bytes. They may be overwritten afterwards.
   */
  handleBytes(bytes: Buffer): void {
    let lineStart = 0;
    for (;;) {
      const lineEnd = bytes.indexOf(LINE_FEED, lineStart);
      if (lineEnd < 0) {
        break;
      }
      this.#handleLine(this.#takeLine(bytes, lineStart, lineEnd));
      lineStart = lineEnd + 1;
    }
    if (lineStart < bytes.length && !this.#socket.destroyed) {
      this.#partialLine.append(bytes.subarray(lineStart));
    }
    if (this.#partialLine.length > MAX_FRAME_BYTES) {
      this.#partialLine.clear();
      this.#socket.destroy(
        new Error(`received more than ${MAX_FRAME_BYTES} bytes of one frame`),
      );
    }
    this.#countIncompleteFrame();
  }

  /** Takes the line that ends at a position, with what has arrived of it before. */
  #takeLine(bytes: Buffer, start: number, end: number): string {
    if (this.#partialLine.length === 0) {
      return bytes.toString("utf8", start, end);
    }
    this.#partialLine.append(bytes.subarray(start, end));
    return this.#partialLine.takeBytes().toString("utf8");
  }

  #countIncompleteFrame(): void {
    const { capacity } = this.#partialLine;
    const holder = this.#incompleteFrame;
    const addedBytes = capacity - holder.heldBytes;
    if (addedBytes < 0) {
      this.#budget?.releaseHolder(holder);
      this.#countIncompleteFrame();
    } else if (addedBytes > 0) {
      this.#budget?.addEvictable(holder, addedBytes);
    }
  }

  #handleLine(line: string): void {
    try {
      const frame = parseBatchFrame(line);
      this.#hasReceivedFrame = true;
      if (frame !== undefined) {
        this.received.add(frame);
      }
    } catch (error) {
      this.#socket.destroy(error as Error);
    }
  }
}
