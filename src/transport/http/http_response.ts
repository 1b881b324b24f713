/** An HTTP response to send. */
export interface HttpResponse {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly headers?: { readonly [name: string]: string };
}
