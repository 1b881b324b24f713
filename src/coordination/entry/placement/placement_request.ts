/** A task for which an agent is to be selected. */
export interface PlacementRequest {
  readonly service: string;
  /** Key under which run times are learned. */
  readonly runTimeKey: string;
  /** Whether the task may run more than once. */
  readonly repeatable: boolean;
  /**
   * Member id of the submission's home, the agent that stores its claim. The
   * task should run elsewhere, so that the claim and the start records aren't
   * lost at the same time.
   */
  readonly homeId?: string | undefined;
  /**
   * Member id of the agent of the task's previous attempt, which is avoided
   * unless it is the only usable one.
   */
  readonly avoidId?: string | undefined;
  /**
   * Whether the task has left the queue. It then takes the best agent that is
   * available now and doesn't wait for a faster one.
   */
  readonly isDequeued?: boolean;
}
