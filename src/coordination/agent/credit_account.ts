/** Credits that were granted in one message. */
interface Grant {
  /**
   * Whether the credits were sent in a message of their own. Otherwise they
   * were sent with a task result.
   */
  readonly hasOwnMessage: boolean;
  remaining: number;
  wasUsed: boolean;
}

/** The credits of one stream of one entry. */
export interface CreditAccount {
  readonly entryId: string;
  /** Credits granted on the stream and neither used nor returned. */
  unused: number;
  /** Credits that were revoked and whose return hasn't arrived yet. */
  revoking: number;
  /**
   * Tasks at the entry that wait for slots of this agent, as last reported.
   */
  queued: number;
  /**
   * True while the entry sends no heartbeats. It gets no credits, and those
   * that it held are invalid.
   */
  isSuspended: boolean;
  /** False after the stream has ended or was replaced by a newer one. */
  isActive: boolean;
  /**
   * The grants that have unused credits, oldest first. Credits of the oldest
   * grant are used first.
   */
  readonly grants: Grant[];
  readonly sendGrant: (count: number) => void;
  readonly sendRevoke: (count: number) => void;
}
