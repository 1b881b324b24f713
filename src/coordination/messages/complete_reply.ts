/** Reply to a `CompleteRequest`. */
export interface CompleteReply {
  claimId: number;
  /** False if the receiver of the request is no longer the home of the key. */
  stored: boolean;
}
