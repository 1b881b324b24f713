/** A connection that has received bytes which aren't parsed yet. */
export interface ParseSource {
  /** Whether there are bytes that can be parsed now. */
  readonly canParse: boolean;
  /** Whether parsing the request that is open has taken much time already. */
  readonly isCostly: boolean;
  /** Parses a small part of the bytes, and returns its cost in units of the queue. */
  parseNext(): number;
}
