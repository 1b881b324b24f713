/** Requests what a member knows about the keys whose home is the sender. */
export interface GatherRequest {
  /** Member id of the agent that became the home of the keys. */
  home: string;
  /** Log offset that the member's view must have reached. */
  epoch: number;
  /** Epoch of the first home change that the request covers. */
  since: number;
  /** Position of the first claim of this page. */
  position: number;
}
