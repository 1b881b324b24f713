/** Confirms a stored answer. */
export interface CompleteReply {
  claimId: number;
  /** False when the receiver isn't the home of the key any more. */
  stored: boolean;
}
