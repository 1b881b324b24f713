import { BLOCK_BYTES } from "./block_bytes.ts";
import type { BlockPool } from "./block_pool.ts";

/** Bytes that arrive in parts, in blocks of a pool; they are removed as a whole or from the front. */
export class BlockBuffer {
  readonly #pool: BlockPool;
  readonly #maxCapacity: number;
  #blocks: Buffer[] = [];
  /** Bytes of the first block that were removed. */
  #start = 0;
  #length = 0;
  #capacity = 0;

  /**
   * @param pool - Where blocks come from.
   * @param maxCapacity - Number of bytes that are known to arrive at the most.
   */
  constructor(pool: BlockPool, maxCapacity = Infinity) {
    this.#pool = pool;
    this.#maxCapacity = maxCapacity;
  }

  get length(): number {
    return this.#length;
  }

  /** Gets the memory of the blocks, in bytes. */
  get capacity(): number {
    return this.#capacity;
  }

  append(bytes: Buffer): void {
    for (let start = 0; start < bytes.length;) {
      const end = this.#start + this.#length;
      const block = end === this.#capacity
        ? this.#addBlock()
        : this.#blocks.at(-1) as Buffer;
      const copied = bytes.copy(block, end % BLOCK_BYTES, start);
      start += copied;
      this.#length += copied;
    }
  }

  /** Removes all bytes, and returns a copy of them. */
  takeBytes(): Buffer {
    const bytes = Buffer.concat(this.#blocks, this.#start + this.#length)
      .subarray(this.#start);
    this.clear();
    return bytes;
  }

  /**
   * Gets the first bytes, which are overwritten some time after they are removed.
   * @param maxBytes - Number of bytes at the most; there may be fewer.
   */
  getFirst(maxBytes: number): Buffer {
    const end = this.#start + Math.min(maxBytes, this.#length);
    // No block is longer, and the view ends with the block.
    return (this.#blocks[0] as Buffer).subarray(this.#start, end);
  }

  /** Removes first bytes, of one block at the most. */
  removeFirst(bytes: number): void {
    this.#start += bytes;
    this.#length -= bytes;
    if (this.#length === 0) {
      this.clear();
    } else if (this.#start === BLOCK_BYTES) {
      this.#pool.release(this.#blocks.shift() as Buffer);
      this.#capacity -= BLOCK_BYTES;
      this.#start = 0;
    }
  }

  clear(): void {
    for (const block of this.#blocks) {
      if (block.length === BLOCK_BYTES) {
        this.#pool.release(block);
      }
    }
    this.#blocks = [];
    this.#start = 0;
    this.#length = 0;
    this.#capacity = 0;
  }

  #addBlock(): Buffer {
    const left = this.#maxCapacity - this.#capacity;
    const block = left > 0 && left < BLOCK_BYTES
      ? Buffer.allocUnsafeSlow(left)
      : this.#pool.take();
    this.#blocks.push(block);
    this.#capacity += block.length;
    return block;
  }
}
