/** The final HTTP response to a submission, as sent to the caller. */
export interface StoredAnswer {
  status: number;
  contentType: string;
  body: Uint8Array;
  headers: { [name: string]: string };
}
