/** Asks a member for what it knows about keys whose home is the sender. */
export interface GatherRequest {
  /** Id of the agent that gained keys. */
  home: string;
  /** The member answers only when its view holds this offset. */
  epoch: number;
  /** The first change of homes that the home asks about. */
  since: number;
  /** Position of the first claim of this page. */
  position: number;
}
