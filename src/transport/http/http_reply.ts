/** The answer to a call of an `HttpCaller`. */
export interface HttpReply {
  readonly status: number;
  readonly body: Buffer;
}
