/** Asks an agent to run one attempt of a task. */
export interface Dispatch {
  dispatchId: number;
  key: string;
  index: number;
  attempt: number;
  service: string;
  body: Uint8Array;
  timeoutMs: number;
  repeatable: boolean;
  customer: string;
  /** Tasks for which the sender wants slots of the receiver. */
  queued: number;
  /**
   * Does the dispatch use a credit of this stream? False for a push, and for a
   * dispatch that is sent again.
   */
  onCredit: boolean;
  clock: number;
}
