/** Candidate for rendezvous hashing, with its hash. */
export interface RendezvousCandidate<T> {
  readonly hash: number;
  readonly value: T;
}
