/** Requests the claim of a submission from the home of its key. */
export interface ClaimRequest {
  claimId: number;
  key: string;
  /**
   * Digest of the request. Detects the reuse of a key for another request.
   */
  fingerprint: string;
  viewOffset: number;
  clock: number;
}
