import type { StoredAnswer } from "../messages/mod.ts";

/**
 * Memory that an answer takes besides its body, in bytes. In a trial with
 * 150,000 claims, answers of 300 bytes took 300 bytes of heap each besides the
 * bodies, and a claim without an answer 490 bytes.
 */
const OVERHEAD_BYTES = 300;

/** Gets the memory that a stored answer takes, in bytes. */
export function getAnswerSizeBytes(answer: StoredAnswer): number {
  return answer.body.length + OVERHEAD_BYTES;
}
