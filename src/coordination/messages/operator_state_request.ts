/** Asks a peer for a part of its operator's state. */
export interface OperatorStateRequest {
  /** Offset of the state to which the part belongs. */
  readonly offset: number;
  /** Number of characters of the state that have been read. */
  readonly position: number;
}
