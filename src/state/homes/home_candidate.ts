/** Something that rendezvous hashing may choose, with its hash. */
export interface HomeCandidate<T> {
  readonly hash: number;
  readonly value: T;
}
