/**
 * Receives one line for each decision that touches a request or changes what
 * the process believes.
 */
export interface EventLog {
  /**
   * Records an event.
   * @param event - A constant name.
   * @param fields - Ids, inputs with their age or version, and the outcome.
   */
  record(event: string, fields?: Record<string, unknown>): void;
}
