/**
 * Gets the rendezvous rank of a candidate for a key: the candidate with the
 * highest rank wins. Both are hashed beforehand, so one rank costs a few
 * integer operations.
 * @param keyHash - 32-bit hash of the key.
 * @param candidateHash - 32-bit hash of the candidate.
 */
export function getRank(keyHash: number, candidateHash: number): number {
  // The finalizer of MurmurHash3 spreads every input bit over the whole result.
  let mixed = (keyHash ^ Math.imul(candidateHash, 0x9e3779b1)) >>> 0;
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}
