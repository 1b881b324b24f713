/** What placement knows about an agent. */
export interface Candidate {
  readonly member: { readonly id: string; readonly slots: number };
  /** Has the agent answered on the current stream? */
  readonly isUp: boolean;
  /** Unused credits. */
  readonly credits: number;
  /** Dispatches of this entry without a result. */
  readonly inFlight: number;
  /** Tasks that run at the agent, as far as this entry knows. */
  readonly load: number;
}
