/** Reports to an agent the number of tasks that wait for credits. */
export interface CreditDemand {
  queued: number;
}
