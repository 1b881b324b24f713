/** What the headers of a submission say. */
export interface RequestContext {
  readonly idempotencyKey: string;
  readonly customer: string;
  readonly team?: string | undefined;
}
