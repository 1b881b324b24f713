/** The state of one of several queues that share capacity by weight. */
export interface FairQueueState {
  /**
   * Expected slot time of the served tasks divided by weight, in milliseconds;
   * the queue with the lowest value is served first.
   */
  virtualTime: number;
  waiting: number;
  running: number;
}
