import type { IncomingMessage } from "node:http";

/** Time that a refused client has to end its body, in milliseconds. */
const TIMEOUT_MS = 2_000;

/** Largest part of a refused body that is read, in bytes. */
const MAX_BYTES = 1_048_576;

/** Least number of bytes that a chunk counts for; many tiny ones take much time. */
const MIN_CHUNK_BYTES = 512;

/** Largest number of refused bodies that are read at the same time. */
const MAX_COUNT = 8;

/**
 * Reads and discards the rest of refused bodies, within limits: a client could not read the
 * refusal if its connection were closed while it sends.
 */
export class BodyDiscarder {
  #count = 0;

  /** Discards a body if that is possible; returns whether it is. */
  tryDiscard(message: IncomingMessage): boolean {
    if (this.#count >= MAX_COUNT) {
      return false;
    }
    this.#count++;
    const { socket } = message;
    let discardedBytes = 0;
    const timer = setTimeout(() => socket.destroy(), TIMEOUT_MS).unref();
    message.on("data", (chunk: Buffer) => {
      discardedBytes += Math.max(chunk.length, MIN_CHUNK_BYTES);
      if (discardedBytes > MAX_BYTES) {
        socket.destroy();
      }
    });
    // Parts that arrive in this turn are discarded as well.
    message.read(0);
    message.once("close", () => {
      this.#count--;
      clearTimeout(timer);
    });
    return true;
  }
}
