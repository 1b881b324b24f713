/** Requests an agent to run one attempt of a task. */
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
  /** Number of tasks at the sender that wait for slots of the receiver. */
  queued: number;
  /**
   * Whether the dispatch uses a credit of this stream. False for a task that is
   * pushed without a credit, and for a dispatch that is sent again.
   */
  onCredit: boolean;
  clock: number;
}
