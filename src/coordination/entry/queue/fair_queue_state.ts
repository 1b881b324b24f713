/** One of several parties that share a capacity by weight. */
export interface FairQueueState {
  /** Work done divided by weight: the party with the least goes first. */
  virtualTime: number;
  waiting: number;
  running: number;
}
