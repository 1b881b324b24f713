import xxhash from "xxhash-wasm";

type CompiledHasher = Awaited<ReturnType<typeof xxhash>>;

/**
 * The xxhash library. Its module is compiled in the background when this file is
 * first imported, since a bundle that is loaded by `require` can't wait for it.
 */
class Hasher {
  /** Resolves when the module is compiled. Each process awaits it first. */
  readonly compiled: Promise<void>;
  #hasher: CompiledHasher | undefined;

  constructor() {
    this.compiled = xxhash().then((hasher) => {
      this.#hasher = hasher;
    });
  }

  /** Gets the 32-bit hash of a text. */
  h32(text: string): number {
    return this.#getCompiled().h32(text);
  }

  /** Gets the 64-bit hash of some bytes. */
  h64Raw(bytes: Uint8Array): bigint {
    return this.#getCompiled().h64Raw(bytes);
  }

  #getCompiled(): CompiledHasher {
    if (this.#hasher === undefined) {
      throw new Error("a hash was needed before the module was compiled");
    }
    return this.#hasher;
  }
}

export const hasher = new Hasher();
