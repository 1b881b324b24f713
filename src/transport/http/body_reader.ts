/**
 * Reads the body of a request within a limit and the memory budget. The load: bodies that
 * arrive in very many small chunks.
 *
 * The parser creates a buffer for each chunk, which takes many times the memory of a small
 * one. Chunks are therefore copied into one buffer, whose capacity is what the budget
 * counts. Bodies of many tiny chunks are refused, because reading them takes the time of
 * very many ordinary requests.
 */
import type { IncomingMessage } from "node:http";
import type { MemoryHolder } from "../memory_holder.ts";
import type { MemoryBudget } from "../memory_budget.ts";

const EMPTY_BODY = Buffer.alloc(0);

/** Chunks of a body that may be tiny. */
const MAX_TINY_CHUNKS = 1_000;

/** Mean size of the chunks of a body from which on their number isn't limited, in bytes. */
const MIN_MEAN_CHUNK_BYTES = 64;

export interface BodyReaderOptions {
  request: IncomingMessage;
  budget: MemoryBudget;
  maxBytes: number;
  /** Called with the complete body, which the budget then no longer knows. */
  onComplete: (body: Buffer) => void;
  /** Called once if the body is refused; what was read is given up. */
  onRefuse: (cause: "body_size" | "body_chunks" | "memory") => void;
}

export class BodyReader implements MemoryHolder {
  heldBytes = 0;
  receivedBytes = 0;
  readonly #options: BodyReaderOptions;
  readonly #announcedBytes: number;
  /** Holds the first `receivedBytes` bytes of the body; it may be longer. */
  #buffer: Buffer = EMPTY_BODY;
  #chunkCount = 0;
  #isEnded = false;

  constructor(options: BodyReaderOptions) {
    this.#options = options;
    const { request } = options;
    this.#announcedBytes = Number(
      request.headers["content-length"] ?? Infinity,
    );
    request.on("data", (chunk: Buffer) => this.#handleChunk(chunk));
    request.on("end", () => this.#handleEnd());
  }

  evict(): void {
    this.#refuse("memory");
  }

  /** Releases what was read of a body that will not be completed. */
  close(): void {
    this.#isEnded = true;
    this.#buffer = EMPTY_BODY;
    this.#options.budget.releaseHolder(this);
  }

  #handleChunk(chunk: Buffer): void {
    // Parts of a refused body are discarded.
    if (this.#isEnded) {
      return;
    }
    const receivedBytes = this.receivedBytes + chunk.length;
    this.#chunkCount++;
    if (receivedBytes > this.#options.maxBytes) {
      this.#refuse("body_size");
    } else if (
      this.#chunkCount > MAX_TINY_CHUNKS &&
      receivedBytes < this.#chunkCount * MIN_MEAN_CHUNK_BYTES
    ) {
      this.#refuse("body_chunks");
    } else {
      this.#addChunk(chunk);
    }
  }

  #addChunk(chunk: Buffer): void {
    const start = this.receivedBytes;
    this.receivedBytes += chunk.length;
    const capacity = this.#buffer.length;
    if (start === 0) {
      // The only chunk of most bodies, which isn't copied.
      this.#buffer = chunk;
    } else {
      if (this.receivedBytes > capacity) {
        this.#buffer = this.#createLargerBuffer();
      }
      chunk.copy(this.#buffer, start);
    }
    const addedBytes = this.#buffer.length - capacity;
    if (addedBytes > 0) {
      this.#options.budget.addEvictable(this, addedBytes);
    }
  }

  /** Creates a buffer of about twice the received bytes, or of the announced length. */
  #createLargerBuffer(): Buffer {
    const capacity = 2 ** Math.ceil(Math.log2(this.receivedBytes));
    const buffer = Buffer.allocUnsafeSlow(
      Math.min(capacity, this.#announcedBytes),
    );
    this.#buffer.copy(buffer);
    return buffer;
  }

  #handleEnd(): void {
    if (this.#isEnded) {
      return;
    }
    const body = this.#buffer.subarray(0, this.receivedBytes);
    const isFull = body.length === this.#buffer.length;
    this.close();
    // The rest of a longer buffer would be held as long as the body.
    this.#options.onComplete(isFull ? body : Buffer.from(body));
  }

  #refuse(cause: "body_size" | "body_chunks" | "memory"): void {
    this.close();
    this.#options.onRefuse(cause);
  }
}
