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
  queued: number;
  clock: number;
}
