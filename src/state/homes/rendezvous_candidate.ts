/** Something that rendezvous hashing may choose, with its hash. */
export interface RendezvousCandidate<T> {
  readonly hash: number;
  readonly value: T;
}
