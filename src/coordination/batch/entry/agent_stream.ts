/** Identifies one stream of an entry to an agent. */
export interface AgentStream {
  readonly agentId: string;
  /** Address at which the agent accepted the stream. */
  readonly address: string;
  /** Rises with each stream that the entry opens, to whichever agent. */
  readonly number: number;
}
