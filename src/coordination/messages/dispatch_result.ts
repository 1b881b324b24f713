/** The result of a dispatch: the upstream's answer, or an error kind. */
export interface DispatchResult {
  dispatchId: number;
  /** Empty when the upstream gave an answer. */
  errorKind: string;
  message: string;
  status: number;
  body: Uint8Array;
  /** xxhash64 of the body, in hexadecimal. */
  digest: string;
  /** Run time at the upstream, in milliseconds. */
  runMs: number;
  /** Credits granted together with the result. */
  credits: number;
  clock: number;
}
