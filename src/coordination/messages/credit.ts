/** Grants free slots of the sender to the receiver. */
export interface Credit {
  count: number;
}
