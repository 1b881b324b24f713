/** Tells an agent that tasks wait for credits. */
export interface CreditDemand {
  queued: number;
}
