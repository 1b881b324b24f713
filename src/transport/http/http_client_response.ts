/** A response that an `HttpClient` has received. */
export interface HttpClientResponse {
  readonly status: number;
  readonly body: Buffer;
}
