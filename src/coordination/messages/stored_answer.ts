/** The final answer of a submission, as the caller received it. */
export interface StoredAnswer {
  status: number;
  contentType: string;
  body: Uint8Array;
  headers: { [name: string]: string };
}
