/** What agents must wait for before they start runs of a job that are ordered now. */
export interface ClaimNeed {
  /** Number of the claim; 0 if there is nothing to wait for. */
  claimNumber: number;
  /** Number of homes that tell the agents of their grant, one of them with the spec. */
  awaitedHomes: number;
}
