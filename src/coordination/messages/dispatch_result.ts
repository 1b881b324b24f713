/** The result of a dispatch: the upstream's answer or an error. */
export interface DispatchResult {
  dispatchId: number;
  /** Empty if the upstream returned an answer. */
  errorKind: string;
  message: string;
  status: number;
  body: Uint8Array;
  /** xxhash64 of the body, in hexadecimal. */
  digest: string;
  /** Run time at the upstream, in milliseconds. */
  runMs: number;
  /** Number of credits that are granted with the result. */
  credits: number;
  clock: number;
}
