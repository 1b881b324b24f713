/**
 * Default of the memory for incomplete frames of all streams of a process, in bytes. One
 * frame of the largest size fits.
 */
export const INCOMPLETE_FRAME_BYTES = 25_165_824;
