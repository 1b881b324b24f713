/** An HTTP response of an entry or an agent, with its whole body. */
export interface ProcessReply {
  readonly status: number;
  readonly body: Buffer;
}
