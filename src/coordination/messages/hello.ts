/** The first message on a stream, in both directions. */
export interface Hello {
  memberId: string;
  zone: string;
  /**
   * False when the opener uses the stream for claims only and wants no credits.
   */
  wantsCredits: boolean;
}
