/** Tells an agent that tasks wait for credits. */
export interface Want {
  queued: number;
}
