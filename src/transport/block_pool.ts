/**
 * Blocks of memory for bytes that arrive in parts. The load: clients that make the process
 * hold bodies or frames and are refused, again and again. Blocks are used again, because
 * memory that is allocated for each of them stays reserved until it is collected.
 */
import { BLOCK_BYTES } from "./block_bytes.ts";

export class BlockPool {
  #unused: Buffer[] = [];

  /** Takes a block, whose content is undefined. */
  take(): Buffer {
    return this.#unused.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
  }

  release(block: Buffer): void {
    this.#unused.push(block);
  }

  /** Gives up half of the blocks that aren't used. */
  releaseUnused(): void {
    this.#unused.length = Math.floor(this.#unused.length / 2);
  }
}
