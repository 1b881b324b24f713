/** The properties of a task that the queue uses. */
export interface EnqueueOptions {
  /** Key of the submission. */
  readonly key: string;
  readonly customer: string;
  readonly team: string;
  readonly service: string;
  /** Within a team, tasks with a higher priority leave the queue first. */
  readonly priority: number;
  /**
   * Among tasks of equal priority the one with the lower order leaves the queue
   * first.
   */
  readonly order: number;
  /** Share of the capacity relative to other customers. */
  readonly weight: number;
  /** Share of the customer's capacity relative to its other teams. */
  readonly teamWeight: number;
  /** Expected time in a slot, in milliseconds. */
  readonly costMs: number;
  /** Key under which run times are learned. */
  readonly runTimeKey: string;
  /** Whether the task may run more than once. */
  readonly repeatable: boolean;
  /** Member id of the submission's home, the agent that stores its claim. */
  readonly homeId?: string | undefined;
  /**
   * Member id of the agent of the task's previous attempt, which is avoided
   * unless it is the only usable one.
   */
  readonly avoidId?: string | undefined;
  readonly id?: string;
  readonly signal?: AbortSignal;
}
