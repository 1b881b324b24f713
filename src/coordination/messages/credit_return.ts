/** Returns unused credits to the agent. */
export interface CreditReturn {
  count: number;
}
