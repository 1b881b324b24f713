/** The first message on a stream, in both directions. */
export interface Hello {
  memberId: string;
  zone: string;
  /**
   * Whether the entry that opened the stream requests credits. False if it uses
   * the stream for claims only, and in the agent's reply.
   */
  wantsCredits: boolean;
}
