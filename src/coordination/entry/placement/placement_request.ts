/** A task that looks for an agent. */
export interface PlacementRequest {
  readonly service: string;
  /** Name under which run times are learned. */
  readonly runTimeKey: string;
  /** May the task run more than once? */
  readonly repeatable: boolean;
  /**
   * The submission's home: its claim and its start records should not be lost
   * together.
   */
  readonly homeId?: string | undefined;
  /** The agent that refused the task last. */
  readonly avoidId?: string | undefined;
  /**
   * Has the task left the queue, so that it takes the best agent that is ready
   * now?
   */
  readonly isDequeued?: boolean;
}
