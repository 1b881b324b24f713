/** What the queue knows about a waiting task. */
export interface DispatchQueueOptions {
  readonly customer: string;
  readonly service: string;
  /** Tasks with a higher priority leave first, within one customer. */
  readonly priority: number;
  /** Share of the capacity relative to other customers. */
  readonly weight: number;
  /** Member id of the home of the task's key. */
  readonly homeId?: string | undefined;
  readonly id?: string;
  readonly signal?: AbortSignal;
}
