/** An agent on which a task may be placed. */
export interface Candidate {
  readonly member: { readonly id: string; readonly slots: number };
  /** Whether the agent has answered on the current stream. */
  readonly isUp: boolean;
  /** Number of unused credits. */
  readonly credits: number;
  /** Number of dispatches of this entry that have no result yet. */
  readonly inFlight: number;
  /** Number of tasks that run at the agent, as far as this entry knows. */
  readonly load: number;
}
