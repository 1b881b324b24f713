/** Asks a member for what it knows about keys whose home has changed. */
export interface GatherRequest {
  /** Id of the agent that gained keys. */
  home: string;
  /** Offset of the membership change. */
  epoch: number;
}
