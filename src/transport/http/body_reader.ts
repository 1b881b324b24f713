/**
 * Reads the body of a request within a limit and the memory budget. The load: bodies that
 * arrive in very many small chunks.
 *
 * The parser creates a buffer for each chunk, which takes many times the memory of a small
 * one. Chunks are therefore copied into blocks, whose capacity is what the budget counts.
 */
import type { IncomingMessage } from "node:http";
import { BlockBuffer } from "../block_buffer.ts";
import type { BlockPool } from "../block_pool.ts";
import type { MemoryHolder } from "../memory_holder.ts";
import type { MemoryBudget } from "../memory_budget.ts";

const EMPTY_BODY = Buffer.alloc(0);

export interface BodyReaderOptions {
  request: IncomingMessage;
  budget: MemoryBudget;
  /** Blocks for bodies of more than one chunk. */
  pool: BlockPool;
  maxBytes: number;
  /** Called for each chunk. */
  onChunk: () => void;
  /** Called with the complete body, which the budget then no longer knows. */
  onComplete: (body: Buffer) => void;
  /** Called once if the body is refused; what was read is given up. */
  onRefuse: (cause: "body_size" | "memory") => void;
}

export class BodyReader implements MemoryHolder {
  heldBytes = 0;
  receivedBytes = 0;
  readonly #options: BodyReaderOptions;
  /** The only chunk of most bodies, which isn't copied. */
  #firstChunk: Buffer = EMPTY_BODY;
  readonly #blocks: BlockBuffer;
  #isEnded = false;

  constructor(options: BodyReaderOptions) {
    this.#options = options;
    const { request, pool } = options;
    const announcedBytes = request.headers["content-length"] ?? Infinity;
    this.#blocks = new BlockBuffer(pool, Number(announcedBytes));
    request.on("data", (chunk: Buffer) => this.#handleChunk(chunk));
    request.on("end", () => this.#handleEnd());
    // Chunks of this turn would otherwise be kept as objects until the next one.
    request.read(0);
  }

  evict(): void {
    this.#refuse("memory");
  }

  /** Releases what was read of a body that will not be completed. */
  close(): void {
    this.#isEnded = true;
    this.#firstChunk = EMPTY_BODY;
    this.#blocks.clear();
    this.#options.budget.releaseHolder(this);
  }

  #handleChunk(chunk: Buffer): void {
    this.#options.onChunk();
    // Parts of a refused body are discarded.
    if (this.#isEnded) {
      return;
    }
    if (this.receivedBytes + chunk.length > this.#options.maxBytes) {
      this.#refuse("body_size");
    } else {
      this.#addChunk(chunk);
    }
  }

  #addChunk(chunk: Buffer): void {
    if (this.receivedBytes === 0) {
      this.#firstChunk = chunk;
    } else {
      this.#blocks.append(this.#firstChunk);
      this.#blocks.append(chunk);
      this.#firstChunk = EMPTY_BODY;
    }
    this.receivedBytes += chunk.length;
    const addedBytes = this.#firstChunk.length + this.#blocks.capacity -
      this.heldBytes;
    if (addedBytes > 0) {
      this.#options.budget.addEvictable(this, addedBytes);
    }
  }

  #handleEnd(): void {
    if (this.#isEnded) {
      return;
    }
    const body = this.#blocks.length > 0
      ? this.#blocks.takeBytes()
      : this.#firstChunk;
    this.close();
    this.#options.onComplete(body);
  }

  #refuse(cause: "body_size" | "memory"): void {
    this.close();
    this.#options.onRefuse(cause);
  }
}
