import type { IncomingMessage } from "node:http";
import type { MemoryHolder } from "../memory_holder.ts";
import type { MemoryBudget } from "../memory_budget.ts";

const EMPTY_BODY = Buffer.alloc(0);

export interface BodyReaderOptions {
  request: IncomingMessage;
  budget: MemoryBudget;
  maxBytes: number;
  /** Called with the complete body, which the budget then no longer knows. */
  onComplete: (body: Buffer) => void;
  /** Called once if the body is refused; what was read is given up. */
  onRefuse: (cause: "body_size" | "memory") => void;
}

/** Reads the body of a request within a limit and the memory budget. */
export class BodyReader implements MemoryHolder {
  heldBytes = 0;
  receivedBytes = 0;
  readonly #options: BodyReaderOptions;
  #chunks: Buffer[] = [];
  #isEnded = false;

  constructor(options: BodyReaderOptions) {
    this.#options = options;
    const { request } = options;
    request.on("data", (chunk: Buffer) => this.#handleChunk(chunk));
    request.on("end", () => this.#handleEnd());
  }

  evict(): void {
    this.#refuse("memory");
  }

  /** Releases what was read of a body that will not be completed. */
  close(): void {
    this.#isEnded = true;
    this.#chunks = [];
    this.#options.budget.releaseHolder(this);
  }

  #handleChunk(chunk: Buffer): void {
    // Parts of a refused body are discarded.
    if (this.#isEnded) {
      return;
    }
    this.receivedBytes += chunk.length;
    if (this.receivedBytes > this.#options.maxBytes) {
      this.#refuse("body_size");
      return;
    }
    this.#chunks.push(chunk);
    this.#options.budget.addEvictable(this, chunk.length);
  }

  #handleEnd(): void {
    if (this.#isEnded) {
      return;
    }
    const chunks = this.#chunks;
    this.close();
    const [first = EMPTY_BODY] = chunks;
    this.#options.onComplete(
      chunks.length > 1 ? Buffer.concat(chunks) : first,
    );
  }

  #refuse(cause: "body_size" | "memory"): void {
    this.close();
    this.#options.onRefuse(cause);
  }
}
