/** Requests the return of unused credits. */
export interface CreditRevoke {
  count: number;
}
