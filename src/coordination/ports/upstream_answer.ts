/** A whole answer of an upstream. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly body: Uint8Array;
}
