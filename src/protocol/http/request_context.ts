/** What the headers of a submission state. */
export interface RequestContext {
  readonly idempotencyKey: string;
  readonly customer: string;
  readonly team?: string | undefined;
}
