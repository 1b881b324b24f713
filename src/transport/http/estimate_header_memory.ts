/** Memory for the objects of a request, without its headers, in bytes. */
const REQUEST_BYTES = 2_048;

/**
 * Memory for a byte of headers in the worst case: many short ones, each with strings and
 * entries of its own.
 */
const MEMORY_PER_BYTE = 8;

/** Estimates the memory, in bytes, that a request takes with headers of a length. */
export function estimateHeaderMemory(headerBytes: number): number {
  return REQUEST_BYTES + headerBytes * MEMORY_PER_BYTE;
}
