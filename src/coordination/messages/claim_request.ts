/** Claims a submission for the sender at the home of its key. */
export interface ClaimRequest {
  claimId: number;
  key: string;
  /**
   * Digest of the request: detects a key that is reused for another request.
   */
  fingerprint: string;
  viewOffset: number;
  clock: number;
}
