/** The answer to a call of an `HttpCaller`. */
export interface HttpClientResponse {
  readonly status: number;
  readonly body: Buffer;
}
