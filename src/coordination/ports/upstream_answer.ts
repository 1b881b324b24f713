/** A complete response of an upstream. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly body: Uint8Array;
}
