/** Credits that were granted together. */
interface Grant {
  /**
   * Did they have a message of their own? Otherwise they came with a result.
   */
  readonly hasOwnMessage: boolean;
  remaining: number;
  wasUsed: boolean;
}

/** The credits of one stream of one entry. */
export interface CreditAccount {
  readonly entryId: string;
  /** Credits granted on the stream, less those that were used or came back. */
  unused: number;
  /** Credits that were asked back and whose return hasn't arrived. */
  revoking: number;
  /** Tasks for which the entry wants slots here, as last reported. */
  queued: number;
  /**
   * True while the entry is silent: it gets no credits, and those it held were
   * taken back.
   */
  isSuspended: boolean;
  /** False once the stream has ended or a newer one has replaced it. */
  isActive: boolean;
  /**
   * The grants whose credits are unused, the oldest first. Credits are used
   * from the oldest.
   */
  readonly grants: Grant[];
  readonly sendGrant: (count: number) => void;
  readonly sendRevoke: (count: number) => void;
}
