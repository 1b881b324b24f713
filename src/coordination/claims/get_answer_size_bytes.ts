import type { StoredAnswer } from "../messages/mod.ts";

/**
 * Heap memory that a stored answer takes in addition to its body, in bytes: 300
 * for answers of 300 bytes in a table of 150,000 claims. A claim without an
 * answer takes 490 bytes.
 */
const ANSWER_OVERHEAD_BYTES = 300;

/** Gets the approximate memory use of a stored answer, in bytes. */
export function getAnswerSizeBytes(answer: StoredAnswer): number {
  return answer.body.length + ANSWER_OVERHEAD_BYTES;
}
