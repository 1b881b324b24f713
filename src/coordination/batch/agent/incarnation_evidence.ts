/** What shows that an incarnation of a worker has ended. */
export interface IncarnationEvidence {
  /** Start of the incarnation that has answered instead. */
  readonly bornAtMs?: number;
  /** Whether a worker with another id has answered. */
  readonly isOtherWorker?: boolean;
  /**
   * When the call was sent that met no worker with this id, on the monotonic
   * clock: what was answered before that has ended.
   */
  readonly sentAt?: number;
}
