/** Size of the blocks in which bytes are kept that arrive in parts, in bytes. */
export const BLOCK_BYTES = 4_096;
