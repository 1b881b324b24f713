/**
 * Limits the memory for what arrives and isn't complete, and for what waits to be sent, over
 * all connections of a server. The load: clients that send large bodies and never end them, tens with bodies far
 * over the limit or thousands with bodies of an allowed size.
 *
 * When the budget is exceeded, the holder of most bytes is evicted until it is kept: those
 * that make the process hold much go first, and small requests beside them are served. What
 * a handler works on isn't evicted, because its request may run already. A part is reserved
 * for small holders, so that they go on while handlers hold all of the rest.
 */
import type { MemoryHolder } from "./memory_holder.ts";

/** Largest size of a holder that may use the reserved part, in bytes. */
const SMALL_BYTES = 16_384;

/** Reserved part of the budget. */
const RESERVED_SHARE = 0.25;

export class MemoryBudget {
  readonly #limitBytes: number;
  readonly #evictable = new Set<MemoryHolder>();
  #heldBytes = 0;

  /** @param limitBytes - Budget in bytes, with the part reserved for small holders. */
  constructor(limitBytes: number) {
    this.#limitBytes = limitBytes;
  }

  /** Gets the bytes of all holders. */
  get heldBytes(): number {
    return this.#heldBytes;
  }

  /** Whether more is held than can be evicted; nothing more should be accepted then. */
  get isExceeded(): boolean {
    return this.#heldBytes > this.#limitBytes;
  }

  /** Gets the largest size of a single holder, in bytes. */
  get maxHolderBytes(): number {
    return Math.floor(this.#limitBytes * (1 - RESERVED_SHARE));
  }

  /** Adds bytes of a holder, which may be evicted with all it holds, or others may. */
  addEvictable(holder: MemoryHolder, bytes: number): void {
    this.#evictable.add(holder);
    holder.heldBytes += bytes;
    this.#heldBytes += bytes;
    if (this.#heldBytes > this.maxHolderBytes) {
      this.#evictLargest();
    }
  }

  /** Releases all that a holder holds; nothing happens if it was evicted. */
  releaseHolder(holder: MemoryHolder): void {
    if (this.#evictable.delete(holder)) {
      this.#heldBytes -= holder.heldBytes;
      holder.heldBytes = 0;
    }
  }

  /** Adds bytes that can't be given up, such as the body of a request that runs. */
  addFixed(bytes: number): void {
    this.#heldBytes += bytes;
  }

  /** Releases bytes that `addFixed` added. */
  releaseFixed(bytes: number): void {
    this.#heldBytes -= bytes;
  }

  #evictLargest(): void {
    for (;;) {
      const largest = this.#findLargest();
      const limitBytes = (largest?.heldBytes ?? 0) > SMALL_BYTES
        ? this.maxHolderBytes
        : this.#limitBytes;
      if (largest === undefined || this.#heldBytes <= limitBytes) {
        return;
      }
      this.releaseHolder(largest);
      largest.evict();
    }
  }

  /** Finds the holder of most bytes, of several the one that holds for longest. */
  #findLargest(): MemoryHolder | undefined {
    let largest: MemoryHolder | undefined;
    for (const holder of this.#evictable) {
      if (largest === undefined || holder.heldBytes > largest.heldBytes) {
        largest = holder;
      }
    }
    return largest;
  }
}
