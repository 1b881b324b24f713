/** Asks for unused credits back. */
export interface CreditRevoke {
  count: number;
}
