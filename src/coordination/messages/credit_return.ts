/** Gives unused credits back. */
export interface CreditReturn {
  count: number;
}
