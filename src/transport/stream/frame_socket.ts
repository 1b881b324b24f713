/**
 * Streams of batch frames over TCP connections. Each frame is one line.
 */
import type { Socket } from "node:net";
import type { PeerStream } from "../../coordination/ports/mod.ts";
import type { BatchFrame } from "../../coordination/messages/mod.ts";
import { formatBatchFrame, parseBatchFrame } from "../../protocol/batch/mod.ts";
import type { MemoryBudget } from "../memory_budget.ts";
import type { MemoryHolder } from "../memory_holder.ts";
import { MessageQueue } from "../message_queue.ts";

const LINE_FEED = 0x0a;

const NO_BYTES = Buffer.alloc(0);

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
 * A stream of frames on a TCP connection. Frames that are sent in the same turn
 * of the event loop are combined in one write.
 */
export class FrameSocket implements PeerStream<BatchFrame> {
  readonly received = new MessageQueue<BatchFrame>();
  readonly #socket: Socket;
  #unsentLines = "";
  #partialLine: Buffer = NO_BYTES;
  #isClosed = false;
  #hasReceivedFrame = false;
  #error: Error | undefined;
  readonly #budget: MemoryBudget | undefined;
  readonly #incompleteFrame: MemoryHolder = {
    heldBytes: 0,
    evict: () =>
      this.#socket.destroy(
        new Error("incomplete frames of all streams hold too much memory"),
      ),
  };

  /** @param budget - Limits the incomplete frames of several streams together. */
  constructor(socket: Socket, budget?: MemoryBudget) {
    this.#socket = socket;
    this.#budget = budget;
    socket.setNoDelay(true);
    socket.setKeepAlive(true, KEEP_ALIVE_DELAY_MS);
    // A socket that was opened with `onread` emits none.
    socket.on("data", (bytes: Buffer) => this.handleBytes(bytes));
    socket.on("error", (error) => this.#error ??= error);
    socket.on("close", () => {
      this.#isClosed = true;
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
   * @param chunk - Received bytes. They may be overwritten afterwards.
   */
  handleBytes(chunk: Buffer): void {
    let bytes = chunk;
    let searchStart = 0;
    if (this.#partialLine.length > 0) {
      searchStart = this.#partialLine.length;
      bytes = Buffer.concat([this.#partialLine, chunk]);
    }
    let lineStart = 0;
    for (;;) {
      const lineEnd = bytes.indexOf(LINE_FEED, searchStart);
      if (lineEnd < 0) {
        break;
      }
      this.#handleLine(bytes.toString("utf8", lineStart, lineEnd));
      lineStart = lineEnd + 1;
      searchStart = lineStart;
    }
    if (lineStart === bytes.length) {
      this.#partialLine = NO_BYTES;
    } else if (lineStart > 0 || bytes === chunk) {
      // A part of a larger buffer would hold all of it.
      this.#partialLine = Buffer.from(bytes.subarray(lineStart));
    } else {
      this.#partialLine = bytes;
    }
    if (this.#partialLine.length > MAX_FRAME_BYTES) {
      this.#socket.destroy(
        new Error(`received more than ${MAX_FRAME_BYTES} bytes of one frame`),
      );
    }
    this.#countIncompleteFrame();
  }

  #countIncompleteFrame(): void {
    const { length } = this.#partialLine;
    const holder = this.#incompleteFrame;
    if (length === holder.heldBytes) {
      return;
    }
    this.#budget?.releaseHolder(holder);
    if (length > 0 && !this.#socket.destroyed) {
      this.#budget?.addEvictable(holder, length);
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
