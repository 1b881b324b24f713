/** An HTTP answer. */
export interface HttpAnswer {
  readonly status: number;
  readonly contentType: string;
  readonly body: Uint8Array;
  readonly headers?: { readonly [name: string]: string };
}
