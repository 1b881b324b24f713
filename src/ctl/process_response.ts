/** An HTTP response of an entry or an agent, with its whole body. */
export interface ProcessResponse {
  readonly status: number;
  readonly body: Buffer;
}
