import xxhash from "xxhash-wasm";

/**
 * The xxhash library. Its module is compiled once, when this file is first
 * imported.
 */
export const hasher = await xxhash();
