/** A part of the operator's state of a peer. */
export interface OperatorStatePart {
  /** Offset up to which the state includes the operator's log. */
  readonly offset: number;
  /** Number of characters of the state before this part. */
  readonly position: number;
  /** Number of characters of the whole state. */
  readonly length: number;
  readonly text: string;
}
