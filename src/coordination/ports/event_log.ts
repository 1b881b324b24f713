/**
 * Receives one event for each decision that affects a request or changes this
 * process's knowledge of the cluster.
 */
export interface EventLog {
  /**
   * Records an event.
   * @param event - Constant name of the event.
   * @param fields - Ids, the inputs of the decision with their age or version,
   * and its outcome.
   */
  record(event: string, fields?: Record<string, unknown>): void;
}
